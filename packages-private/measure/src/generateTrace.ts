import {createRandom} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {RequestClass} from './trace.js';
import type {TraceRequest} from './trace.js';

/** Distribution of one kind of request in a workload. */
interface RequestProfile {
  readonly class: RequestClass;
  /** Share of all requests, 0 to 1. */
  readonly share: number;
  readonly promptTokens: number;
  readonly medianOutputTokens: number;
  /** Standard deviation of the logarithm of the output length. */
  readonly outputLogStdDev: number;
  readonly maxTokens: number;
  /** Number of distinct prefixes that prompts start with. */
  readonly prefixCount: number;
}

/** An organisation and its share of all requests. */
interface Organisation {
  readonly id: string;
  readonly share: number;
}

interface Workload {
  readonly profiles: readonly RequestProfile[];
  readonly organisations: readonly Organisation[];
}

const BAYANIHAN: Workload = {
  profiles: [
    {
      class: RequestClass.SHORT,
      share: 0.8,
      promptTokens: 160,
      medianOutputTokens: 40,
      outputLogStdDev: 0.7,
      maxTokens: 2_048,
      prefixCount: 6,
    },
    {
      class: RequestClass.LONG,
      share: 0.2,
      promptTokens: 480,
      medianOutputTokens: 700,
      outputLogStdDev: 0.9,
      maxTokens: 8_192,
      prefixCount: 12,
    },
  ],
  organisations: [
    {id: 'procurement-desk', share: 0.55},
    ...createOrganisations(9, 'yard', 0.45),
  ],
};

const SUTOLINEN: Workload = {
  profiles: [
    {
      class: RequestClass.SHORT,
      share: 0.7,
      promptTokens: 96,
      medianOutputTokens: 30,
      outputLogStdDev: 0.6,
      maxTokens: 1_024,
      prefixCount: 4,
    },
    {
      class: RequestClass.LONG,
      share: 0.3,
      promptTokens: 640,
      medianOutputTokens: 900,
      outputLogStdDev: 0.7,
      maxTokens: 8_192,
      prefixCount: 10,
    },
  ],
  organisations: createOrganisations(10, 'house', 1),
};

const WORKLOADS = {bayanihan: BAYANIHAN, sutolinen: SUTOLINEN} as const;
export type WorkloadName = keyof typeof WORKLOADS;

/** A period of constant load, as a multiple of the capacity of the engines. */
export interface LoadPhase {
  readonly durationMs: number;
  readonly load: number;
}

/** Load shapes of traces, by name. */
export const SHAPES = {
  calm: [{durationMs: 90_000, load: 0.5}],
  peak: [
    {durationMs: 15_000, load: 0.6},
    {durationMs: 120_000, load: 1.3},
    {durationMs: 75_000, load: 0.3},
  ],
  overload: [{durationMs: 150_000, load: 2}],
  burst: [
    {durationMs: 30_000, load: 0.5},
    {durationMs: 6_000, load: 5},
    {durationMs: 60_000, load: 0.4},
  ],
  replay: [
    {durationMs: 5_000, load: 0.6},
    {durationMs: 30_000, load: 2.2},
    {durationMs: 10_000, load: 0.2},
  ],
  half: [{durationMs: 60_000, load: 0.5}],
  full: [{durationMs: 60_000, load: 1}],
  double: [{durationMs: 60_000, load: 2}],
  triple: [{durationMs: 60_000, load: 3}],
  short: [
    {durationMs: 5_000, load: 0.6},
    {durationMs: 25_000, load: 1.3},
    {durationMs: 15_000, load: 0.3},
  ],
} as const satisfies Record<string, readonly LoadPhase[]>;
export type ShapeName = keyof typeof SHAPES;

/** Probability that an output is `TAIL_LENGTH_FACTOR` times longer than drawn. */
const TAIL_PROBABILITY = 0.02;
const TAIL_LENGTH_FACTOR = 6;

/**
 * Generates a synthetic trace. `capacityPerMs` is the number of requests of this
 * workload that the engines can serve per millisecond (see
 * `computeCapacityPerMs`). Output lengths drift over the trace, so that learned
 * lengths become outdated.
 */
export function generateTrace(
  name: WorkloadName,
  phases: readonly LoadPhase[],
  capacityPerMs: number,
  seed: number,
): TraceRequest[] {
  const random = createRandom(seed);
  const workload = WORKLOADS[name];
  const totalMs = phases.reduce((sum, phase) => sum + phase.durationMs, 0);
  const requests: TraceRequest[] = [];
  let startMs = 0;
  for (const {durationMs, load} of phases) {
    const ratePerMs = capacityPerMs * load;
    let atMs = startMs + drawExponential(random, ratePerMs);
    while (atMs < startMs + durationMs) {
      requests.push(drawRequest(workload, random, atMs, atMs / totalMs));
      atMs += drawExponential(random, ratePerMs);
    }
    startMs += durationMs;
  }
  return requests;
}

function drawRequest(
  workload: Workload,
  random: Random,
  atMs: number,
  progress: number,
): TraceRequest {
  const profile = pickByShare(workload.profiles, random);
  const organisation = pickByShare(workload.organisations, random);
  const driftFactor = 0.75 + 0.5 * progress;
  const tailFactor = random() < TAIL_PROBABILITY ? TAIL_LENGTH_FACTOR : 1;
  const length =
    profile.medianOutputTokens *
    driftFactor *
    tailFactor *
    Math.exp(profile.outputLogStdDev * drawStandardNormal(random));
  const prefix = Math.floor(random() * profile.prefixCount);
  return {
    atMs: Math.round(atMs * 100) / 100,
    organisation: organisation.id,
    class: profile.class,
    promptTokens: Math.round(profile.promptTokens * (0.6 + 0.8 * random())),
    outputTokens: Math.max(2, Math.min(profile.maxTokens, Math.round(length))),
    maxTokens: profile.maxTokens,
    prefix: `${profile.class}-${prefix}`,
  };
}

/** Creates organisations that divide the share equally. */
function createOrganisations(
  count: number,
  name: string,
  share: number,
): Organisation[] {
  return Array.from({length: count}, (_, index) => ({
    id: `${name}-${index + 1}`,
    share: share / count,
  }));
}

/** Picks an item with a probability equal to its share. */
function pickByShare<T extends {readonly share: number}>(
  items: readonly T[],
  random: Random,
): T {
  let remainingShare = random();
  for (const item of items) {
    remainingShare -= item.share;
    if (remainingShare < 0) return item;
  }
  return items.at(-1)!;
}

/** Draws the time to the next arrival of a Poisson process of this rate. */
function drawExponential(random: Random, ratePerMs: number): number {
  return -Math.log(1 - random()) / ratePerMs;
}

/** Draws from the standard normal distribution (Box-Muller transform). */
function drawStandardNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}
