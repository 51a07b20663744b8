import {QuantileEstimate} from './quantileEstimate.js';

/** What is assumed before prompts come: those of the services known so far. */
const PRIOR_TOKENS = 2_500;

const MEDIAN = 0.5;

/**
 * How long prompts usually are, by which a long one is not held back for its length.
 *
 * Answers the pattern of starvation by size: where a prompt is taken only if its own
 * reading still ends within the goal, the longest find no engine as soon as queues are
 * long, though whoever comes late is served too. A wait that is bound alike for all
 * serves the longest nearly as often as the others.
 */
export class PromptSizes {
  private readonly usual = new QuantileEstimate(MEDIAN, PRIOR_TOKENS);

  note(promptTokens: number): void {
    this.usual.note(promptTokens);
  }

  /** The part of a prompt that counts against its goal: no more than is usual. */
  countedTokens(promptTokens: number): number {
    return Math.min(promptTokens, this.usual.value);
  }
}
