import type {Failure} from '@lilacledge/shared';
import type {StreamEvent} from '@lilacledge/entry';
import type {GenerateOptions} from './askOptions.js';

/** State of a caller's request: open, or how it ended. */
export type CallerState =
  | {readonly kind: 'open'}
  | {readonly kind: 'complete'}
  | {readonly kind: 'failed'; readonly failure: Failure}
  /** The caller's connection was lost with its entry. */
  | {readonly kind: 'cut'};

/** One generation request on a rig, with all that its caller received. */
export interface Caller {
  readonly requestId: string;
  readonly organisation: string;
  readonly prompt: string;
  readonly expectedTokens: number;
  readonly arrivedMs: number;
  readonly texts: string[];
  /** Time at which each token was received. */
  readonly tokenMs: number[];
  /** Number of final events received; more than one is a fault. */
  ends: number;
  end: CallerState;
  endedMs: number;
  streamTag: string;
  disconnect(): void;
}

/** Records an event of a stream at its caller. */
export function recordEvent(
  caller: Caller,
  event: StreamEvent,
  nowMs: number,
): void {
  switch (event.type) {
    case 'tokens':
      caller.texts.push(...event.texts);
      caller.tokenMs.push(...event.texts.map(() => nowMs));
      caller.streamTag = event.streamTag;
      return;
    case 'done':
      caller.ends++;
      caller.end = {kind: 'complete'};
      caller.endedMs = nowMs;
      return;
    case 'failed':
      caller.ends++;
      caller.end = {kind: 'failed', failure: event.failure};
      caller.endedMs = nowMs;
  }
}

/** Creates the caller of a request that has no events yet. */
export function createCaller(
  request: Pick<
    Caller,
    | 'requestId'
    | 'organisation'
    | 'prompt'
    | 'expectedTokens'
    | 'arrivedMs'
    | 'disconnect'
  >,
): Caller {
  return {
    ...request,
    texts: [],
    tokenMs: [],
    ends: 0,
    end: {kind: 'open'},
    endedMs: 0,
    streamTag: '',
  };
}

/**
 * Builds a prompt that carries the request id for `checkRun` and the output
 * length for the engine stand-in.
 */
export function buildPrompt(
  requestId: string,
  outputTokens: number,
  options: GenerateOptions,
): string {
  const marker = `[[caller=${requestId}]] [[output=${outputTokens}]]`;
  const prefix = options.prefix ?? '';
  const chars = (options.promptTokens ?? 16) * 4;
  return prefix + marker.padEnd(Math.max(0, chars - prefix.length), '.');
}
