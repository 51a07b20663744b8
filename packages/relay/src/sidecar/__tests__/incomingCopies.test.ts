import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import type {EngineReport} from '../../model/index.js';
import {IncomingCopies} from '../incomingCopies.js';

let clock: VirtualClock;
let report: EngineReport | undefined;
let copies: IncomingCopies;

beforeEach(() => {
  clock = new VirtualClock();
  report = {
    queued: 0,
    active: 1,
    memoryUsedTokens: 5_000,
    memoryTokens: 10_000,
    runs: [],
  };
  copies = new IncomingCopies(clock, () => report);
});

describe('IncomingCopies', () => {
  it('allows one copy at a time', () => {
    expect(copies.tryAcquire('a', 1_000)).toBe(true);
    expect(copies.tryAcquire('b', 1_000)).toBe(false);
    copies.release('a');
    expect(copies.tryAcquire('b', 1_000)).toBe(true);
  });

  it('ignores a release by a run that does not hold the link', () => {
    copies.tryAcquire('a', 1_000);
    copies.release('b');
    expect(copies.tryAcquire('b', 1_000)).toBe(false);
  });

  it('frees the link after a timeout when its holder never releases it', async () => {
    copies.tryAcquire('a', 1_000);
    await clock.advance(1_600);
    expect(copies.tryAcquire('b', 1_000)).toBe(true);
  });

  it('refuses a copy that exceeds the memory of the engine', () => {
    expect(copies.tryAcquire('a', 4_800)).toBe(false);
    expect(copies.tryAcquire('a', 4_600)).toBe(true);
  });

  it('refuses copies once its own engine leaves', () => {
    report = {...report!, leavesInMs: 1_000};
    expect(copies.tryAcquire('a', 100)).toBe(false);
  });
});
