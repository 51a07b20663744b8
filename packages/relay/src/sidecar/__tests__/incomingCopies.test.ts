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
  it('lets one run at a time be copied', () => {
    expect(copies.tryTake('a', 1_000)).toBe(true);
    expect(copies.tryTake('b', 1_000)).toBe(false);
    copies.release('a');
    expect(copies.tryTake('b', 1_000)).toBe(true);
  });

  it('is not freed by a run that does not hold it', () => {
    copies.tryTake('a', 1_000);
    copies.release('b');
    expect(copies.tryTake('b', 1_000)).toBe(false);
  });

  it('is free again when its holder was never heard of again', async () => {
    copies.tryTake('a', 1_000);
    await clock.advance(1_600);
    expect(copies.tryTake('b', 1_000)).toBe(true);
  });

  it('takes none that the engine has no memory for', () => {
    expect(copies.tryTake('a', 4_800)).toBe(false);
    expect(copies.tryTake('a', 4_600)).toBe(true);
  });

  it('takes none once its own engine leaves', () => {
    report = {...report!, leavesInMs: 1_000};
    expect(copies.tryTake('a', 100)).toBe(false);
  });
});
