/** Options of a requested generation; those left out have defaults. */
export interface GenerateOptions {
  readonly organisation?: string;
  readonly outputTokens?: number;
  readonly promptTokens?: number;
  readonly maxTokens?: number;
  readonly maxQueueMs?: number;
  readonly prefix?: string;
  readonly model?: string;
}
