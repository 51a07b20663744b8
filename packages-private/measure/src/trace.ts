/** Class of a request, by the length of the output that its caller waits for. */
export const RequestClass = {SHORT: 'short', LONG: 'long'} as const;
export type RequestClass = (typeof RequestClass)[keyof typeof RequestClass];

/** One request of a synthetic trace. */
export interface TraceRequest {
  /** Arrival time since the start of the trace. */
  readonly atMs: number;
  readonly organisation: string;
  readonly class: RequestClass;
  readonly promptTokens: number;
  /** Length of the output, which only the engine stand-in knows in advance. */
  readonly outputTokens: number;
  /** The caller's output limit, far above most outputs as with real callers. */
  readonly maxTokens: number;
  /** Requests with the same prefix share the start of their prompts. */
  readonly prefix: string;
}

/** Formats a request as a line of a trace file. */
export function formatTraceLine(request: TraceRequest): string {
  return JSON.stringify(request);
}

/** Parses a trace file of JSON lines. */
export function parseTrace(text: string): TraceRequest[] {
  return text
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as TraceRequest);
}
