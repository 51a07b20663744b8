import {END_OF_STACK_PORTS} from '@lilacledge/localstack';
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

  // Guards against a soak and a local stack that both find a port free before one listens on it.
  it.each([0, 1, 2, 3, 4, 5, SEED])(
    'hands out no port that local stacks use, with seed %d',
    async (seed) => {
      const port = await (await open(seed)).take();
      expect(port).toBeGreaterThanOrEqual(END_OF_STACK_PORTS);
    },
  );

  // Guards against concurrent soaks that share ports and so call each other's endpoints.
  it('gives two soaks different ranges when their seeds map to the same one', async () => {
    const first = await open(SEED);
    const second = await open(SEED + SAME_RANGE_OFFSET);
    const taken = await Promise.all([first.take(), second.take()]);
    expect(Math.abs(taken[0] - taken[1])).toBeGreaterThan(1_000);
  });
});
