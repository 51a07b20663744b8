import type {IncomingMessage} from 'node:http';
import type {Clock} from '@lilacledge/shared';
import type {HeldRequestBodies} from '../requests/heldRequestBodies.js';
import {PayloadBuilder} from './payload.js';
import type {Payload} from './payload.js';
import type {ReadingTurns} from './readingTurns.js';

/** A complete request body, or the reason why it is incomplete. */
export type RequestBodyOutcome =
  | {
      readonly kind: 'whole';
      readonly body: Payload;
      /** Declares that the body is no longer needed. */
      readonly release: () => void;
    }
  /** Larger than any may be; with the bytes that arrived or were stated. */
  | {readonly kind: 'tooLarge'; readonly bytes: number}
  /** This process may not hold as much; with the bytes that arrived or were stated. */
  | {readonly kind: 'noRoom'; readonly bytes: number}
  /** The caller stops waiting before the body has arrived; with the bytes that did. */
  | {readonly kind: 'timedOut'; readonly bytes: number}
  | {readonly kind: 'cut'; readonly detail: string};

export interface RequestBodyLimits {
  readonly maxBytes: number;
  /** Time until the caller stops waiting. */
  readonly timeoutMs: number;
}

/** What reading a body needs of its process. */
export interface BodyReadingContext {
  readonly heldBodies: HeldRequestBodies;
  readonly readingTurns: ReadingTurns;
  readonly clock: Clock;
}

/**
 * Reads a body as far as this process may hold it. The rest of one that isn't read is left to
 * the caller. Never rejects.
 */
export function readRequestBody(
  message: IncomingMessage,
  {maxBytes, timeoutMs}: RequestBodyLimits,
  {heldBodies, readingTurns, clock}: BodyReadingContext,
): Promise<RequestBodyOutcome> {
  const statedBytes = statedLength(message);
  if (statedBytes > maxBytes) {
    return Promise.resolve({kind: 'tooLarge', bytes: statedBytes});
  }
  if (!heldBodies.hasRoomFor(statedBytes)) {
    return Promise.resolve({kind: 'noRoom', bytes: statedBytes});
  }
  return new Promise((resolve) => {
    const builder = new PayloadBuilder();
    const held = heldBodies.open(
      () => stop({kind: 'noRoom', bytes: builder.bytes}),
      () => !readingTurns.isWaiting(message.socket),
    );
    const cancelTimer = clock.after(timeoutMs, () => {
      stop({kind: 'timedOut', bytes: builder.bytes});
    });
    let hasStopped = false;

    function stop(outcome: RequestBodyOutcome): void {
      if (hasStopped) return;
      hasStopped = true;
      cancelTimer();
      message.off('data', take);
      if (outcome.kind !== 'whole') {
        heldBodies.close(held);
        builder.clear();
      }
      resolve(outcome);
    }

    function take(chunk: Buffer): void {
      readingTurns.noteRead(message, chunk.length);
      if (builder.bytes + chunk.length > maxBytes) {
        stop({kind: 'tooLarge', bytes: builder.bytes + chunk.length});
        return;
      }
      heldBodies.add(held, builder.add(chunk));
    }

    message.on('data', take);
    message.on('end', () => {
      if (!message.complete) {
        stop({kind: 'cut', detail: 'short body'});
        return;
      }
      heldBodies.complete(held);
      const release = (): void => heldBodies.close(held);
      stop({kind: 'whole', body: builder.finish(), release});
    });
    message.on('error', (error) => {
      stop({kind: 'cut', detail: error.message});
    });
    message.on('close', () => {
      stop({kind: 'cut', detail: 'connection closed'});
    });
  });
}

/** The size that the head states; 0 for a body in chunks. */
function statedLength({headers}: IncomingMessage): number {
  return Number(headers['content-length'] ?? 0);
}
