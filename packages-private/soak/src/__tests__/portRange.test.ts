import {afterEach, describe, expect, it} from 'vitest';
import {PortRange} from '../portRange.js';

const SEED = 7;

/** Seeds that differ by the number of ranges map to the same one. */
const SAME_RANGE_OFFSET = 12;

let ranges: PortRange[] = [];

afterEach(() => {
  for (const range of ranges) range.close();
  ranges = [];
});

async function open(seed: number): Promise<PortRange> {
  const range = await PortRange.open(seed);
  ranges.push(range);
  return range;
}

describe('PortRange', () => {
  it('hands out each port once', async () => {
    const range = await open(SEED);
    const ports = [await range.take(), await range.takePair()];
    ports.push(await range.take());
    expect(new Set(ports).size).toBe(3);
  });

  // Guards against concurrent soaks that share ports and so call each other's endpoints.
  it('gives two soaks different ranges when their seeds map to the same one', async () => {
    const first = await open(SEED);
    const second = await open(SEED + SAME_RANGE_OFFSET);
    const taken = await Promise.all([first.take(), second.take()]);
    expect(Math.abs(taken[0] - taken[1])).toBeGreaterThan(1_000);
  });
});
