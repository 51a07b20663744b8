import {createRandom} from '@lilacledge/shared';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ConnectionAdmission} from '../connectionAdmission.js';
import {ProcessorKind, SimulatedEntry} from './simulatedEntry.js';
import type {EntryModel, SimulatedSpan} from './simulatedEntry.js';

/*
 * Guards against an entry that reads more requests than it can serve, so that all of them
 * miss their deadlines, and against one that refuses callers whom it could serve.
 */

/** Processor time of a request with its share of a stream. */
const WORK_MS = 2.7;

const CORES = [0.18, 0.243, 0.675, 1.35];
const KINDS = [ProcessorKind.SLOW, ProcessorKind.QUOTA];

interface Case {
  readonly kind: ProcessorKind;
  readonly cores: number;
}

const CASES: readonly Case[] = KINDS.flatMap((kind) =>
  CORES.map((cores) => ({kind, cores})),
);

function createEntry(
  {kind, cores}: Case,
  seed = 1,
  keptRequestsPerS = 0,
): SimulatedEntry {
  const model: EntryModel = {
    cores,
    kind,
    requestMs: 1.5,
    streamShare: 0.1,
    streamMs: 12,
    streamForMs: 4_500,
    keptRequestsPerS,
  };
  return new SimulatedEntry(model, seed);
}

/** Connections a second that take the whole processor time. */
function capacityPerS({cores}: Case): number {
  return (cores * 1_000) / WORK_MS;
}

function inTimeShare({inTime, admitted}: SimulatedSpan): number {
  return inTime / admitted;
}

describe('ConnectionAdmission', () => {
  describe.each(CASES)('with $cores cores ($kind)', (entryCase) => {
    const usualPerS = 0.2 * capacityPerS(entryCase);

    it('refuses nothing in a burst that it can serve', () => {
      const entry = createEntry(entryCase);
      entry.run(usualPerS, 5_000);
      entry.run(3 * usualPerS, 5_000);
      entry.run(usualPerS, 5_000);
      expect(entry.between(0).refused).toBe(0);
    });

    it.each([2, 4, 10])(
      'serves what it takes in time in a crowd of %i times its capacity',
      (factor) => {
        const entry = createEntry(entryCase);
        entry.run(usualPerS, 5_000);
        entry.run(factor * capacityPerS(entryCase), 12_000);
        entry.run(usualPerS, 4_000);
        const crowd = entry.between(8_000, 17_000);
        expect(inTimeShare(crowd)).toBeGreaterThan(0.75);
        expect(crowd.use).toBeGreaterThan(0.65);
        const after = entry.between(18_000);
        expect(after.refused).toBe(0);
        expect(inTimeShare(after)).toBeGreaterThan(0.95);
      },
    );
  });

  it.each(CASES)(
    'ends connections whose requests take too much ($cores cores, $kind)',
    (entryCase) => {
      const entry = createEntry(entryCase, 1, 2);
      const perS = capacityPerS(entryCase);
      entry.run(0.05 * perS, 2_000);
      entry.run(2 * perS, 15_000);
      expect(inTimeShare(entry.between(6_000, 17_000))).toBeGreaterThan(0.75);
    },
  );

  // Guards against entries that all send their callers to each other, as after a restart.
  describe.each(CASES)(
    'while the others are saturated too ($cores cores, $kind)',
    (entryCase) => {
      const perS = capacityPerS(entryCase);

      it('takes all connections of a short overload', () => {
        const entry = createEntry(entryCase);
        entry.run(0.2 * perS, 2_000);
        entry.saturatedShare = 1;
        entry.run(1.5 * perS, 1_500);
        entry.run(0.2 * perS, 2_000);
        expect(entry.between(0).refused).toBe(0);
      });

      it('ends no connections with answers', () => {
        const entry = createEntry(entryCase);
        entry.saturatedShare = 1;
        entry.run(2 * perS, 8_000);
        expect(entry.admission.limitPerS).toBeDefined();
        expect(entry.admission.takeRelease()).toBe(false);
      });

      it('limits them in a long one', () => {
        const entry = createEntry(entryCase);
        entry.run(0.2 * perS, 2_000);
        entry.saturatedShare = 1;
        entry.run(2 * perS, 14_000);
        expect(inTimeShare(entry.between(8_000, 16_000))).toBeGreaterThan(0.5);
      });
    },
  );

  it('limits connections while the link is full although the loop is idle', () => {
    const admission = new ConnectionAdmission();
    const use = {forMs: 100, utilisation: 0.3, linkUtilisation: 1};
    let refused = 0;
    for (let atMs = 0; atMs < 3_000; atMs += 10) {
      if (atMs % 100 === 0) admission.noteUse(use, atMs);
      if (!admission.admit(atMs)) refused++;
    }
    expect(refused).toBeGreaterThan(150);
  });

  // Guards against a limit that one large answer starts on a narrow link.
  it('takes an answer of many times what the link carries for one full link', () => {
    const admission = new ConnectionAdmission();
    const idle = {forMs: 100, utilisation: 0.2, linkUtilisation: 0};
    admission.noteUse(idle, 100);
    admission.noteUse({...idle, linkUtilisation: 30}, 200);
    admission.noteUse(idle, 300);
    expect(admission.limitPerS).toBe(undefined);
  });

  it('counts a suspension of the process as no saturation', () => {
    const admission = new ConnectionAdmission();
    admission.noteUse(
      {forMs: 1_000, utilisation: 0.2, linkUtilisation: 0},
      1_000,
    );
    admission.noteUse(
      {forMs: 3_000, utilisation: 1, linkUtilisation: 0},
      4_000,
    );
    expect(admission.limitPerS).toBe(undefined);
  });

  it('always takes some connections, and all again soon after any load', () => {
    const phase = fc.record({
      factor: fc.double({min: 0.05, max: 12, noNaN: true}),
      forMs: fc.integer({min: 300, max: 4_000}),
    });
    fc.assert(
      fc.property(
        fc.integer(),
        fc.constantFrom(...CASES),
        fc.array(phase, {minLength: 1, maxLength: 5}),
        (seed, entryCase, phases) => {
          const entry = createEntry(entryCase, seed);
          const perS = capacityPerS(entryCase);
          for (const {factor, forMs} of phases) entry.run(factor * perS, forMs);
          const endMs = entry.timeMs;
          for (let fromMs = 0; fromMs + 2_000 <= endMs; fromMs += 2_000) {
            const {arrived, admitted} = entry.between(fromMs, fromMs + 2_000);
            if (arrived >= 20) expect(admitted).toBeGreaterThan(0);
          }
          entry.run(0.1 * perS, 7_000);
          expect(entry.between(endMs + 4_000).refused).toBe(0);
        },
      ),
      {seed: 1, numRuns: 60},
    );
  });

  it('does not change its limit without a measurement', () => {
    const admission = new ConnectionAdmission();
    const random = createRandom(2);
    for (let atMs = 0; atMs < 1_000; atMs += 100 * random()) {
      expect(admission.admit(atMs)).toBe(true);
    }
    expect(admission.limitPerS).toBe(undefined);
  });
});
