import type {Random} from '@lilacledge/shared';
import {createRandom, VirtualClock} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {Exposure, PART_PREFIX} from '../crashReports.js';
import type {Suspicion} from '../crashReports.js';
import {CrashSuspicions} from '../crashSuspicions.js';
import {CrashSimulation} from './crashSeries.js';
import type {CrashSeries} from './crashSeries.js';

/*
 * Guards against a part of long prompts that crashes engine after engine, wherever it stands:
 * only the first parts of a prompt were compared.
 */

/** Deadly requests that may be sent after the bound. */
const MAX_LATE_SENDS = 3;

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
const DEADLY = 'dead';

const BASE = {
  engines: 8,
  forMs: 20_000,
  soundIntervalMs: 100,
} as const;

/** Parts that all prompts of a series share. */
function sharedParts(count: number): string[] {
  return Array.from({length: count}, (_unused, index) => `shared-${index}`);
}

/** Parts of which each prompt has its own choice. */
function chosenParts(random: Random, count: number): string[] {
  return Array.from(
    {length: count},
    () => `chosen-${Math.floor(random() * count * 4)}`,
  );
}

function shuffled<T>(items: readonly T[], random: Random): T[] {
  return items
    .map((item) => ({item, place: random()}))
    .sort((a, b) => a.place - b.place)
    .map(({item}) => item);
}

interface LongSeries {
  readonly sound: CrashSeries['soundParts'];
  readonly deadly: CrashSeries['soundParts'];
}

/** A deadly part after `count` parts of other requests. */
function after(count: number): LongSeries {
  const shared = sharedParts(count);
  return {sound: () => shared, deadly: () => [...shared, DEADLY]};
}

const SERIES: Record<string, LongSeries> = {
  'after 16 others': after(16),
  'after 63 others': after(63),
  'after 600 others': after(600),
  'at any place among 100 others that vary': {
    sound: (random) => chosenParts(random, 100),
    deadly: (random) => {
      const parts = chosenParts(random, 100);
      parts.splice(Math.floor(random() * parts.length), 0, DEADLY);
      return parts;
    },
  },
  'first in one prompt, last in the next': {
    sound: (random) => [...sharedParts(40), ...chosenParts(random, 10)],
    deadly: (random) => {
      const others = [...sharedParts(40), ...chosenParts(random, 10)];
      return random() < 0.5 ? [DEADLY, ...others] : [...others, DEADLY];
    },
  },
  'in short and in long prompts': {
    sound: (random) => (random() < 0.5 ? ['shared-0'] : sharedParts(40)),
    deadly: (random) =>
      random() < 0.5 ? ['shared-0', DEADLY] : [...sharedParts(40), DEADLY],
  },
};

describe('a part of long prompts that crashes each engine', () => {
  const cases = Object.entries(SERIES).flatMap(([name, parts]) =>
    [200, 1_000].map((intervalMs) => [name, intervalMs, parts] as const),
  );

  it.each(cases)(
    'is stopped, and sound requests are not (%s, every %i ms)',
    async (_name, deadlyIntervalMs, {sound, deadly}) => {
      for (const seed of SEEDS) {
        const result = await new CrashSimulation(
          {
            ...BASE,
            soundParts: sound,
            deadlyIntervalMs,
            deadlyParts: deadly,
          },
          seed,
        ).run();
        expect(result.lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
        expect(result.soundRefused).toBe(0);
      }
    },
  );

  it('is stopped beside a second one', async () => {
    const shared = sharedParts(40);
    for (const seed of SEEDS) {
      const result = await new CrashSimulation(
        {
          ...BASE,
          soundParts: () => shared,
          deadlyIntervalMs: 400,
          deadlyParts: (random) => [
            ...shared,
            random() < 0.5 ? DEADLY : 'dead-2',
          ],
        },
        seed,
      ).run();
      expect(result.crashes).toBeLessThan(14);
      expect(result.soundRefused).toBe(0);
    }
  });
});

describe('engines that crash for other reasons under long prompts', () => {
  it.each([1_000, 2_000])(
    'cause no refusal (every %i ms)',
    async (otherCrashIntervalMs) => {
      for (const seed of SEEDS) {
        const result = await new CrashSimulation(
          {...BASE, soundParts: SERIES['after 63 others']!.sound},
          seed,
        ).run();
        const crashing = await new CrashSimulation(
          {
            ...BASE,
            soundParts: (random) => [
              ...sharedParts(30),
              ...chosenParts(random, 10),
            ],
            otherCrashIntervalMs,
          },
          seed,
        ).run();
        expect(result.soundRefused + crashing.soundRefused).toBe(0);
      }
    },
  );
});

describe('processes that hear of crashes of long prompts', () => {
  const SHARED = sharedParts(600).map((part) => PART_PREFIX + part);
  const PART = PART_PREFIX + DEADLY;

  function crashReport(
    life: string,
  ): Parameters<CrashSuspicions['noteCrash']>[1] {
    return {life, exposure: Exposure.RUNNING, agoMs: 0, sentAgoMs: 100};
  }

  it('come to the same verdict whichever messages they get first', async () => {
    const random = createRandom(1);
    for (let round = 0; round < 10; round++) {
      const clock = new VirtualClock();
      const fleet = [0, 1, 2].map(() => new CrashSuspicions(clock));
      const merge = (messages: readonly Suspicion[]): void => {
        for (const message of shuffled(messages, random)) {
          for (const process of fleet) {
            if (random() < 0.5) process.merge(message);
          }
        }
      };
      for (let index = 0; index < 4; index++) {
        const at = fleet[index % 2]!;
        const request = [`request-${index}`, ...SHARED, PART];
        const crash = at.noteCrash(request, crashReport(`life-${index}`));
        const served = at.noteServed([`sound-${index}`, ...SHARED]);
        merge([...crash, ...served]);
        await clock.advance(1_000);
      }
      const known = fleet.flatMap((process) => process.all);
      for (const process of fleet) {
        for (const message of shuffled(known, random)) process.merge(message);
        expect(process.verdict(['new', ...SHARED]).kind).toBe('free');
        const deadly = process.verdict(['new', ...SHARED, PART]);
        expect(deadly.kind).toBe('quarantined');
        expect(process.verdict(['new', PART]).kind).toBe('quarantined');
      }
    }
  });

  /** Records three crashes under the part, after which it is quarantined. */
  async function quarantinePart(
    clock: VirtualClock,
    suspicions: CrashSuspicions,
  ): Promise<void> {
    for (let index = 0; index < 3; index++) {
      const request = [`request-${index}`, ...SHARED, PART];
      suspicions.noteCrash(request, crashReport(`life-${index}`));
      suspicions.noteServed(['sound', ...SHARED]);
      await clock.advance(1_000);
    }
  }

  it('know the quarantine from the evidence that is stored', async () => {
    const clock = new VirtualClock();
    const seen = new CrashSuspicions(clock);
    await quarantinePart(clock, seen);
    seen.explain('request-2');
    const started = new CrashSuspicions(clock);
    expect(seen.quarantined).toEqual([PART]);
    for (const feature of seen.quarantined) {
      started.merge(seen.quarantineEvidence(feature)!);
    }
    expect(started.verdict(['new', ...SHARED, PART]).kind).toBe('quarantined');
    expect(started.verdict(['new', ...SHARED]).kind).toBe('free');
  });

  // Guards against sets that no record names, as a record keeps fewer crashes than come.
  it('keep a bounded number of parts of one request', () => {
    const suspicions = new CrashSuspicions(new VirtualClock());
    for (let index = 0; index < 300; index++) {
      const request = ['request', ...SHARED, PART];
      suspicions.noteCrash(request, crashReport(`life-${index}`));
    }
    expect(suspicions.size).toBeLessThanOrEqual(1);
  });

  it('keep a bounded number of parts, those of quarantines longest', async () => {
    const clock = new VirtualClock();
    const suspicions = new CrashSuspicions(clock);
    await quarantinePart(clock, suspicions);
    suspicions.explain('request-2');
    for (let index = 0; index < 100; index++) {
      const parts = Array.from(
        {length: 4_000},
        (_unused, part) => `${PART_PREFIX}${index}-${part}`,
      );
      suspicions.noteCrash(
        [`other-${index}`, ...parts],
        crashReport(`${index}`),
      );
    }
    const parts = suspicions.all
      .flatMap(({ends}) => ends)
      .reduce((sum, {company}) => sum + (company?.length ?? 0), 0);
    expect(parts).toBeLessThanOrEqual(50_000);
    expect(suspicions.verdict(['new', PART]).kind).toBe('quarantined');
  });
});
