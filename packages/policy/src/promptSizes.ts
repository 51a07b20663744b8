import {QuantileEstimate} from './quantileEstimate.js';

/** Initial estimate of the median, taken from known services. */
const PRIOR_TOKENS = 2_500;

const MEDIAN = 0.5;

/**
 * Learns the median prompt length, which limits how much of a prompt's own length
 * counts in admission.
 *
 * Prevents starvation of long prompts: if a prompt were admitted only when its whole
 * prefill ends within the latency goal, the longest would find no engine as soon as
 * queues are long, although prompts that are already late are still served. With the
 * same bound on the wait for all, the longest are served nearly as often as others.
 */
export class PromptSizes {
  private readonly medianTokens = new QuantileEstimate(MEDIAN, PRIOR_TOKENS);

  note(promptTokens: number): void {
    this.medianTokens.note(promptTokens);
  }

  /** Median prompt length. */
  get usualTokens(): number {
    return this.medianTokens.value;
  }

  /** Tokens that count against the latency goal: at most the median length. */
  cappedTokens(promptTokens: number): number {
    return Math.min(promptTokens, this.usualTokens);
  }
}
