import {createRandom} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import type {PlannedFault} from './faultPlan.js';

/** What an endpoint announces about itself in each of its answers. */
export type AnswerFault =
  /** The requests per second that it accepts from all entries together. */
  | {readonly kind: 'endpointNamesRate'; readonly perS: number}
  /** It is leaving; the store learns of it later. */
  | {readonly kind: 'endpointSaysLeave'}
  /** It rejects every request and asks for a backoff each time. */
  | {readonly kind: 'endpointAsksRest'; readonly restS: number};

/** Some of the rates allow less than one request in a window of the limit. */
const ANNOUNCED_RATES_PER_S = [0, 0.05, 0.5, 1.9, 2.9, 6, 12] as const;

/** Share of the announcements by which an endpoint leaves. */
const LEAVE_SHARE = 0.2;

/** Share of the announcements that ask for a backoff. */
const BACKOFF_SHARE = 0.3;

/** Requested backoffs; the shortest ends before `RestLedger` begins to count. */
const BACKOFFS_S = [0.4, 1.5, 3] as const;

/** Mean time between the starts of two announcements. */
const MEAN_INTERVAL_MS = 350;

/** Bounds of how long an endpoint repeats an announcement. */
const MIN_DURATION_MS = 500;
const MAX_DURATION_MS = 9_000;

/** Mean time between two restarts of entries. */
const MEAN_EXIT_INTERVAL_MS = 2_500;

/** Separates this random sequence from those of the other fault plans with the same seed. */
const SEED_OFFSET = 5_000_011;

/** Plans what endpoints announce in their answers while entries are restarted. */
export function planAnswerFaults(
  seed: number,
  durationMs: number,
): PlannedFault[] {
  const random = createRandom(seed + SEED_OFFSET);
  const announcements = drawTimes(random, MEAN_INTERVAL_MS, durationMs).map(
    (atMs): PlannedFault => ({
      what: drawAnnouncement(random),
      atMs,
      forMs: Math.round(
        MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS),
      ),
      target: Math.floor(random() * 1_000),
    }),
  );
  const exits = drawTimes(random, MEAN_EXIT_INTERVAL_MS, durationMs).map(
    (atMs): PlannedFault => ({
      what: {kind: random() < 0.5 ? 'entryKilled' : 'entryStopped'},
      atMs,
      forMs: 0,
      target: Math.floor(random() * 1_000),
    }),
  );
  return [...announcements, ...exits].sort((a, b) => a.atMs - b.atMs);
}

function drawAnnouncement(random: Random): AnswerFault {
  const draw = random();
  if (draw < LEAVE_SHARE) return {kind: 'endpointSaysLeave'};
  if (draw < LEAVE_SHARE + BACKOFF_SHARE) {
    return {kind: 'endpointAsksRest', restS: pickOne(random, BACKOFFS_S)};
  }
  return {
    kind: 'endpointNamesRate',
    perS: pickOne(random, ANNOUNCED_RATES_PER_S),
  };
}

/** Draws times up to `untilMs` with exponentially distributed gaps. */
function drawTimes(random: Random, meanMs: number, untilMs: number): number[] {
  const times: number[] = [];
  const nextMs = (): number => -Math.log(1 - random()) * meanMs;
  for (let atMs = nextMs(); atMs < untilMs; atMs += nextMs()) {
    times.push(Math.round(atMs));
  }
  return times;
}

function pickOne<T>(random: Random, values: readonly T[]): T {
  return values[Math.floor(random() * values.length)]!;
}
