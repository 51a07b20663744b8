/** Prompt tokens that may be admitted within one engine step. */
const MAX_PROMPT_TOKENS = 256;

/**
 * Bounds the prompt tokens that are admitted within one engine step (the time
 * of one output token): prefill lengthens it for all running generations.
 */
export class PromptPacer {
  private stepStartedAtMs = 0;
  private promptTokens = 0;

  /** True if a prompt of this length may be admitted now. */
  mayAdmit(nowMs: number, tokenMs: number, promptTokens: number): boolean {
    if (nowMs - this.stepStartedAtMs >= tokenMs) {
      this.stepStartedAtMs = nowMs;
      this.promptTokens = 0;
    }
    const isFirst = this.promptTokens === 0;
    return isFirst || this.promptTokens + promptTokens <= MAX_PROMPT_TOKENS;
  }

  /** Counts an admitted prompt towards the current step. */
  noteAdmitted(promptTokens: number): void {
    this.promptTokens += promptTokens;
  }
}
