import {QuantileEstimate} from './quantileEstimate.js';

/** Quantile after which a call is hedged: 3 of 100 calls take longer. */
const HEDGE_QUANTILE = 0.97;

/** Initial estimate of the quantile, before the first responses. */
const PRIOR_P97_MS = 150;

/** Calls end within this multiple of the quantile, also with heavy tails. */
const MAX_EXPECTED_FACTOR = 4;

/**
 * Response times of the calls of one service without generations, learned from its
 * responses.
 *
 * Limits the effect of one slow or unresponsive endpoint: a call that takes longer
 * than the 97th percentile is also sent to a second endpoint. That duplicates at most
 * 3 in 100 calls, and callers of an unresponsive endpoint lose no more than the 97th
 * percentile. It is learned for each service, so that calls to slow services are not
 * duplicated more often.
 */
export class CallTimes {
  private readonly p97 = new QuantileEstimate(HEDGE_QUANTILE, PRIOR_P97_MS);

  note(tookMs: number): void {
    this.p97.note(tookMs);
  }

  /** 97th percentile of the response times; a call that takes longer is hedged. */
  get p97Ms(): number {
    return this.p97.value;
  }

  /** A call that takes longer than this will almost certainly get no response. */
  get maxExpectedMs(): number {
    return this.p97.value * MAX_EXPECTED_FACTOR;
  }
}
