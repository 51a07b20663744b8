import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {createBoundedLog} from '../boundedLog.js';
import type {Logger} from '../boundedLog.js';

let clock: VirtualClock;
let written: string[];
let isRead: boolean;
let log: Logger;

beforeEach(() => {
  clock = new VirtualClock();
  written = [];
  isRead = true;
  log = createBoundedLog({
    instance: 'edge-1',
    clock,
    output(bytes, done) {
      // A write to a pipe that is not read never completes.
      if (!isRead) return;
      written.push(...bytes.toString().trim().split('\n'));
      done(null);
    },
  });
});

/** Resolves after the buffered lines were written. */
function flushed(): Promise<void> {
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
}

function flood(event: string, count: number): void {
  for (let index = 0; index < count; index++) log.info(event, {index});
}

describe('createBoundedLog', () => {
  it('writes one JSON object per line, with its fields', async () => {
    log.warn('call.notServed', {request: 'r1', sends: 2});
    await flushed();
    expect(JSON.parse(written[0]!)).toMatchObject({
      level: 'warn',
      instance: 'edge-1',
      event: 'call.notServed',
      request: 'r1',
      sends: 2,
    });
  });

  it('limits the lines of each event per second, and counts the dropped ones', async () => {
    flood('call.served', 10_000);
    log.info('other.event');
    await flushed();
    expect(written.length).toBeLessThanOrEqual(21);
    expect(written.at(-1)).toContain('other.event');
    expect(log.droppedLines).toBe(10_000 - 20);
    await clock.advance(1_001);
    log.info('call.served');
    await flushed();
    expect(JSON.parse(written.at(-1)!)).toMatchObject({leftOut: 9_980});
  });

  it('has a higher limit for warnings than for successes', async () => {
    for (let index = 0; index < 200; index++) log.warn('call.notServed');
    await flushed();
    expect(written).toHaveLength(100);
  });

  it('drops lines instead of buffering without limit when standard output is not read', async () => {
    isRead = false;
    log.info('first');
    await flushed();
    for (let second = 0; second < 400; second++) {
      for (let event = 0; event < 20; event++) {
        log.info(`event.${event}`, {text: 'x'.repeat(100)});
      }
      await clock.advance(1_001);
    }
    expect(log.droppedLines).toBeGreaterThan(5_000);
  });
});
