/** Average length of a token, for prompts that no engine has tokenized yet. */
const CHARS_PER_TOKEN = 4;

/** Estimates the number of tokens of a prompt from its length. */
export function estimateTokens(prompt: string): number {
  return Math.max(1, Math.ceil(prompt.length / CHARS_PER_TOKEN));
}
