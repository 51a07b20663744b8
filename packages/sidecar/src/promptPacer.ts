/** Prompt tokens admitted within the time of one output token. */
const PACED_PROMPT_TOKENS = 256;

/**
 * Bounds the prompts that are admitted within the time of one output token: each
 * prompt read in a step lengthens that step for all that run.
 */
export class PromptPacer {
  private sinceMs = 0;
  private promptTokens = 0;

  /** True if a prompt of this length may be read now, beside others. */
  mayAdmit(nowMs: number, tokenMs: number, promptTokens: number): boolean {
    if (nowMs - this.sinceMs >= tokenMs) {
      this.sinceMs = nowMs;
      this.promptTokens = 0;
    }
    const isFirst = this.promptTokens === 0;
    return isFirst || this.promptTokens + promptTokens <= PACED_PROMPT_TOKENS;
  }

  /** Counts a prompt that was admitted. */
  note(promptTokens: number): void {
    this.promptTokens += promptTokens;
  }
}
