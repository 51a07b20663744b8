import type {Clock} from '@lilacledge/shared';
import type {CommonFeatures} from './commonFeatures.js';
import {closenessOf} from './crashReports.js';
import type {Closeness, RecordedCrash} from './crashReports.js';
import {
  PART_WEIGHTS,
  REQUEST_WEIGHTS,
  shareFactor,
  SIMULTANEOUS_MS,
} from './quarantineRules.js';

/** Incarnations whose requests are counted. */
const MAX_LIVES = 100;

/** Crashes that a report names as known, the latest ones; the times of older ones are clear. */
export const MAX_KNOWN_LIVES = 8;
const KNOWN_LIVES_MS = 5_000;

/** A crash of an incarnation, with the requests that it had, by how close they were. */
interface CrashedLife {
  readonly atMs: number;
  readonly learnedAtMs: number;
  readonly requests: Map<string, Closeness>;
}

/** The requests that incarnations had when they crashed, which share the evidence. */
export class CrashedLives {
  /** By incarnation, the most recently changed last. */
  private readonly lives = new Map<string, CrashedLife>();

  constructor(private readonly clock: Pick<Clock, 'nowMs'>) {}

  /** Records that an incarnation had the request when it crashed. */
  note(
    {life, atMs}: RecordedCrash,
    request: string,
    closeness: Closeness,
  ): void {
    const {lives} = this;
    const {requests, learnedAtMs} = lives.get(life) ?? {
      requests: new Map<string, Closeness>(),
      learnedAtMs: this.clock.nowMs(),
    };
    requests.set(request, closeness);
    lives.delete(life);
    lives.set(life, {atMs, learnedAtMs, requests});
    if (lives.size <= MAX_LIVES) return;
    const [oldest] = lives.keys();
    lives.delete(oldest!);
  }

  /** The latest incarnations that were known at this time to have crashed. */
  knownAt(atMs: number): string[] {
    return [...this.lives]
      .filter(
        ([, {learnedAtMs}]) =>
          learnedAtMs <= atMs && learnedAtMs > atMs - KNOWN_LIVES_MS,
      )
      .slice(-MAX_KNOWN_LIVES)
      .map(([life]) => life);
  }

  /**
   * The weight of a crash against a feature; none if another request was closer. That against a
   * part is divided among the requests that were as close, and among the incarnations that
   * crashed at the same time without the part.
   */
  weightOf(crash: RecordedCrash, {isPart, crashes}: CommonFeatures): number {
    const {life, atMs, share} = crash;
    const closeness = closenessOf(crash);
    const requests = [...(this.lives.get(life)?.requests.values() ?? [])];
    if (requests.some((other) => other > closeness)) return 0;
    if (!isPart) return REQUEST_WEIGHTS[closeness] * shareFactor(share);
    const suspects = requests.filter((other) => other === closeness).length;
    const simultaneous = [...this.lives]
      .filter(([, other]) => Math.abs(other.atMs - atMs) <= SIMULTANEOUS_MS)
      .filter(([name]) => !crashes.some((known) => known.life === name));
    const causes = Math.max(1, suspects) + simultaneous.length;
    return (PART_WEIGHTS[closeness] * shareFactor(share)) / causes;
  }
}
