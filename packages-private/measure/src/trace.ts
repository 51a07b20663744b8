/** Class of a request, by what its caller waits for. */
export const RequestClass = {SHORT: 'short', LONG: 'long'} as const;
export type RequestClass = (typeof RequestClass)[keyof typeof RequestClass];

/** One request of a synthetic trace. */
export interface TraceRequest {
  /** Time of arrival, from the trace's start. */
  readonly atMs: number;
  readonly organisation: string;
  readonly class: RequestClass;
  readonly promptTokens: number;
  /** Known to the engine stand-in alone. */
  readonly outputTokens: number;
  /** The limit that the caller sets; loose, as callers' are. */
  readonly maxTokens: number;
  /** Requests with the same prefix share the start of their prompts. */
  readonly prefix: string;
}

/** One line of a trace file. */
export function toTraceLine(request: TraceRequest): string {
  return JSON.stringify(request);
}

/** Reads a trace of JSON lines. */
export function parseTrace(text: string): TraceRequest[] {
  return text
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as TraceRequest);
}
