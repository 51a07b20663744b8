import {beforeEach, describe, expect, it} from 'vitest';
import {createRandom} from '../random.js';
import {SuspensionClock} from '../suspensionClock.js';
import type {ClockGap} from '../suspensionClock.js';
import {VirtualClock} from '../virtualClock.js';
import {VirtualMachine} from '../virtualMachine.js';

/** Steps of the boot clock, and the time between two readings. */
const RESOLUTION_MS = 20;

/** Long enough for the boot clock to be trusted. */
const SETTLED_MS = 8_000;

/** How often a process looks at the time. */
const LOOK_MS = 50;

let world: VirtualClock;
let machine: VirtualMachine;
let clock: SuspensionClock;
let gaps: ClockGap[];

beforeEach(async () => {
  world = new VirtualClock();
  machine = new VirtualMachine(world);
  clock = new SuspensionClock(machine);
  gaps = [];
  clock.onGap((gap) => gaps.push(gap));
  await runFor(SETTLED_MS);
});

/** The process runs, and looks at the time as it does. */
async function runFor(durationMs: number): Promise<void> {
  const endMs = world.nowMs() + durationMs;
  while (world.nowMs() < endMs) {
    clock.nowMs();
    await world.advance(Math.min(LOOK_MS, endMs - world.nowMs()));
  }
}

async function suspendFor(durationMs: number, stepMs = 0): Promise<void> {
  machine.suspend();
  await world.advance(durationMs);
  machine.wallErrorMs += stepMs;
  machine.wake();
}

describe('the time of an instance that is suspended', () => {
  it.each([200, 2_000, 60_000])('goes on by %i ms', async (gapMs) => {
    const before = clock.nowMs();
    await suspendFor(gapMs);
    const passedMs = clock.nowMs() - before;
    expect(Math.abs(passedMs - gapMs)).toBeLessThanOrEqual(RESOLUTION_MS);
    expect(gaps).toMatchObject([{kind: 'suspended'}]);
  });

  it.each([-5_000, -59_000, 3_000])(
    'goes on where the time of day is set by %i ms meanwhile',
    async (stepMs) => {
      const before = clock.nowMs();
      await suspendFor(60_000, stepMs);
      const passedMs = clock.nowMs() - before;
      expect(Math.abs(passedMs - 60_000)).toBeLessThanOrEqual(RESOLUTION_MS);
    },
  );

  it('never goes back', async () => {
    const random = createRandom(3);
    let last = clock.nowMs();
    for (let round = 0; round < 300; round++) {
      const drawn = random();
      if (drawn < 0.2) await suspendFor(random() * 60_000);
      else if (drawn < 0.4) machine.wallErrorMs = (random() - 0.5) * 20_000;
      else await runFor(random() * 3_000);
      expect(clock.nowMs()).toBeGreaterThanOrEqual(last);
      last = clock.nowMs();
    }
  });

  describe('with timers', () => {
    async function firedAfter(delayMs: number, gapMs: number): Promise<number> {
      const startMs = world.nowMs();
      let firedMs = Number.NaN;
      clock.after(delayMs, () => (firedMs = world.nowMs() - startMs));
      await runFor(100);
      await suspendFor(gapMs);
      await runFor(delayMs + 1_000);
      return firedMs;
    }

    it('runs those that fell due meanwhile at the first look', async () => {
      const firedMs = await firedAfter(5_000, 60_000);
      expect(firedMs - 60_100).toBeLessThanOrEqual(LOOK_MS);
    });

    it('runs the others when they are due', async () => {
      const firedMs = await firedAfter(5_000, 2_000);
      expect(Math.abs(firedMs - 5_000)).toBeLessThanOrEqual(RESOLUTION_MS);
    });

    it('keeps those quiet that were cancelled', async () => {
      let fired = 0;
      const cancel = clock.after(1_000, () => fired++);
      await suspendFor(5_000);
      cancel();
      await runFor(3_000);
      expect(fired).toBe(0);
    });

    it('runs each once', async () => {
      let fired = 0;
      for (const delayMs of [0, 500, 6_000]) {
        clock.after(delayMs, () => fired++);
      }
      await suspendFor(5_000);
      await runFor(9_000);
      expect(fired).toBe(3);
    });
  });
});

describe('a step of the time of day', () => {
  it.each([2_000, -2_000, 3_600_000])(
    'of %i ms moves no time, and is told',
    async (stepMs) => {
      const before = clock.nowMs();
      machine.wallErrorMs += stepMs;
      expect(clock.nowMs()).toBe(before);
      expect(gaps).toEqual([{kind: 'stepped', stepMs}]);
    },
  );

  it('in small corrections is no step', async () => {
    for (let round = 0; round < 200; round++) {
      machine.wallErrorMs += 20;
      await runFor(LOOK_MS);
    }
    expect(gaps).toEqual([]);
  });
});

describe('a boot clock that is not to be trusted', () => {
  it.each([
    ['cannot be read', () => (machine.hasBootClock = false)],
    ['stands still', () => (machine.bootRate = 0)],
    ['runs slower', () => (machine.bootRate = 0.3)],
    ['runs faster', () => (machine.bootRate = 4)],
  ])('and %s adds no time, and its gaps are told', async (_name, spoil) => {
    spoil();
    await runFor(SETTLED_MS);
    gaps = [];
    const before = clock.nowMs();
    machine.wallErrorMs += 2_000;
    expect(clock.nowMs()).toBe(before);
    await suspendFor(5_000);
    await runFor(1_000);
    expect(gaps.map(({kind}) => kind)).toEqual(['unknown', 'unknown']);
  });

  it('is trusted again once it runs well', async () => {
    machine.hasBootClock = false;
    await runFor(SETTLED_MS);
    machine.hasBootClock = true;
    await runFor(SETTLED_MS);
    await suspendFor(5_000);
    clock.nowMs();
    expect(gaps).toMatchObject([{kind: 'suspended'}]);
  });
});
