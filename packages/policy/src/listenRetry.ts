import {backoffMs} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';

/**
 * Decides whether a process that can't listen tries again. A port may be taken for a moment, by
 * the former process or as the local port of any connection, and an address may not be there yet.
 */

/** Errors that pass by themselves. */
const PASSING_CODES: ReadonlySet<string | undefined> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/** Short, as callers come seconds after a start; a try costs two system calls. */
const BACKOFF = {firstMs: 50, maxMs: 400};

const MIN_PATIENCE_MS = 10_000;

/** From the kill at the end of a grace period until the system has freed the port. */
const FREED_MS = 2_000;

/** What to do after a failure to listen. */
export type ListenDecision =
  | {readonly kind: 'retry'; readonly afterMs: number}
  /** The process can't do its work at this address. */
  | {readonly kind: 'giveUp'; readonly waitedMs: number};

/**
 * How long a process may go without one of its ports. The former process of the instance may
 * have them until the end of its grace period.
 */
export function listenPatienceMs(graceMs = 0): number {
  return Math.max(MIN_PATIENCE_MS, graceMs + FREED_MS);
}

/** Follows the failures of one server to listen. */
export class ListenRetry {
  private failures = 0;
  /** Delays so far; a suspension of the process doesn't count. */
  private waitedMs = 0;

  /** @param patienceMs sum of the delays after which it is given up. */
  constructor(
    private readonly patienceMs: number,
    private readonly random: Random,
  ) {}

  /** @param code of the error, as the operating system names it. */
  next(code: string | undefined): ListenDecision {
    const {waitedMs} = this;
    const isPassing = PASSING_CODES.has(code);
    if (!isPassing || waitedMs >= this.patienceMs) {
      return {kind: 'giveUp', waitedMs};
    }
    const afterMs = backoffMs(BACKOFF, this.failures, this.random);
    this.failures++;
    this.waitedMs += afterMs;
    return {kind: 'retry', afterMs};
  }
}
