import {QuantileEstimate} from './quantileEstimate.js';

/** Three calls of a hundred take longer than a usual call's bound. */
const USUAL_QUANTILE = 0.97;

/** What is assumed of a plain service before its first answers, in ms. */
const PRIOR_MS = 150;

/** Calls of heavy-tailed services end within this many times the usual bound. */
const LONGEST_FACTOR = 4;

/**
 * Times of a plain service's calls, as its own answers show them, in ms.
 *
 * Answers the pattern of one slow or silent endpoint among good ones: a call that
 * takes longer than 97 of 100 is sent to a second endpoint, which doubles 3 in
 * 100 calls at the most and holds a silent endpoint's callers for one usual call.
 * Learned for each service, so that slow services are not doubled more.
 */
export class CallTimes {
  private readonly usual = new QuantileEstimate(USUAL_QUANTILE, PRIOR_MS);

  note(tookMs: number): void {
    this.usual.note(tookMs);
  }

  /** A call without an answer by then is late by its service's own measure. */
  get usualMs(): number {
    return this.usual.value;
  }

  /** A call that is still open then has all but certainly no answer to come. */
  get longestMs(): number {
    return this.usual.value * LONGEST_FACTOR;
  }
}
