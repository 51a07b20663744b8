import {QuantileEstimate} from './quantileEstimate.js';

/** Quantile after which a call is hedged: 3 of 100 calls take longer. */
const HEDGE_QUANTILE = 0.97;

const MEDIAN = 0.5;

/** Initial estimates of the quantiles, before the first responses. */
const PRIOR_P97_MS = 150;
const PRIOR_MEDIAN_MS = 60;

/** Calls end within this multiple of the quantile, also with heavy tails. */
const MAX_EXPECTED_FACTOR = 4;

/** No answer of any kind comes from an endpoint for this multiple of the quantile. */
const SILENT_FACTOR = 2;

/**
 * Response times of the calls of one service without generations, learned from its
 * responses.
 *
 * Limits the effect of one slow or unresponsive endpoint: a call that takes longer
 * than the 97th percentile is also sent to a second endpoint. That duplicates at most
 * 3 in 100 calls, and callers of an unresponsive endpoint lose no more than the 97th
 * percentile. It is learned for each service, so that calls to slow services are not
 * duplicated more often.
 *
 * Response times are divided by the pace that was known of the endpoint at the send, so
 * that the quantiles are those of an endpoint at the usual pace.
 */
export class CallTimes {
  private readonly p97 = new QuantileEstimate(HEDGE_QUANTILE, PRIOR_P97_MS);
  private isKnown = false;
  private readonly median = new QuantileEstimate(MEDIAN, PRIOR_MEDIAN_MS);

  /** Records a response time; `pace` is the endpoint's pace as known at the send. */
  note(tookMs: number, pace = 1): void {
    this.isKnown = true;
    this.p97.note(tookMs / pace);
    this.median.note(tookMs / pace);
  }

  /** 97th percentile of the response times; a call that takes longer is hedged. */
  get p97Ms(): number {
    return this.p97.value;
  }

  /**
   * Time after which a call to an endpoint at `pace` is hedged: the 97th percentile at
   * that pace. A slow endpoint does not extend it beyond the time at which a second send
   * would usually still meet the goal, which is `goalLeftMs` away.
   */
  hedgeAfterMs(pace: number, goalLeftMs: number): number {
    const usualMs = this.p97Ms;
    if (pace <= 1) return usualMs * pace;
    const latestMs = goalLeftMs - this.median.value;
    return Math.max(usualMs, Math.min(usualMs * pace, latestMs));
  }

  /**
   * An endpoint at `pace` that owes answers for longer than this, and has given none meanwhile, is
   * probably suspended or can't be reached.
   */
  silentAfterMs(pace: number): number {
    return this.p97.value * SILENT_FACTOR * Math.max(1, pace);
  }

  /**
   * A call that takes longer than this will almost certainly get no response; undefined before
   * the first response.
   */
  get maxExpectedMs(): number | undefined {
    return this.isKnown ? this.p97.value * MAX_EXPECTED_FACTOR : undefined;
  }
}
