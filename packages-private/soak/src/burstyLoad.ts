import {createRandom} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** Time that a caller waits between two requests, in a burst and otherwise. */
const BURST_THINK_MS = 25;
const CALM_THINK_MS = 500;

/** Lengths of bursts, and of the time between them. */
const BURST_MS = {min: 800, max: 3_000} as const;
const CALM_MS = {min: 2_000, max: 7_000} as const;

/** Share of the phases in which all callers are at one entry. */
const ONE_ENTRY_SHARE = 0.6;

/** Share of the requests that endpoints reject, and how long they do. */
const SHED_SHARE = 0.95;
const SHED_MS = {min: 500, max: 3_500} as const;
const MEAN_SHED_GAP_MS = 4_000;

/** Give the load and its faults seeds of their own, so that other draws stay the same. */
const LOAD_SEED_OFFSET = 8_000_009;
const FAULT_SEED_OFFSET = 8_000_051;

/** Callers that come in bursts, many of them at one entry, which changes. */
export class BurstyLoad {
  private readonly random: Random;
  private isBurst = true;
  private phaseEndMs = 0;
  /** Number that selects the entry; undefined while callers choose one each. */
  private chosen: number | undefined;

  constructor(seed: number) {
    this.random = createRandom(seed + LOAD_SEED_OFFSET);
  }

  thinkTimeMs(nowMs: number): number {
    this.advance(nowMs);
    return this.isBurst ? BURST_THINK_MS : CALM_THINK_MS;
  }

  /** The entry to which all callers send; undefined if they choose one each. */
  entryOf<Entry>(nowMs: number, entries: readonly Entry[]): Entry | undefined {
    this.advance(nowMs);
    if (this.chosen === undefined) return undefined;
    return entries[this.chosen % entries.length];
  }

  private advance(nowMs: number): void {
    if (nowMs < this.phaseEndMs) return;
    this.isBurst = !this.isBurst;
    this.phaseEndMs =
      nowMs + draw(this.random, this.isBurst ? BURST_MS : CALM_MS);
    const number = Math.floor(this.random() * 1_000);
    this.chosen = this.random() < ONE_ENTRY_SHARE ? number : undefined;
  }
}

/** Plans endpoints that all reject most requests, again and again. */
export function planBurstFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed + FAULT_SEED_OFFSET);
  const what = {kind: 'endpointsShed', share: SHED_SHARE} as const;
  const faults: PlannedFault[] = [];
  let atMs = 0;
  for (;;) {
    atMs -= Math.log(1 - random()) * MEAN_SHED_GAP_MS;
    if (atMs >= durationMs) return faults;
    const forMs = Math.round(draw(random, SHED_MS));
    faults.push({what, atMs: Math.round(atMs), forMs, target: 0});
    atMs += forMs;
  }
}

function draw(
  random: Random,
  {min, max}: {readonly min: number; readonly max: number},
): number {
  return min + random() * (max - min);
}
