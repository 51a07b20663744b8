import type {IncomingMessage} from 'node:http';
import {holdReading} from './holdReading.js';
import type {ReadingTurns} from './readingTurns.js';

/** How long the rest of a body may still arrive after its request was answered. */
const MAX_DISCARD_MS = 500;

/** Reads and drops the rest of a body, on a connection that goes on behind it. */
export function dropBody(message: IncomingMessage, turns: ReadingTurns): void {
  message.on('data', (chunk: Buffer) => turns.noteRead(message, chunk.length));
}

/**
 * Reads and drops the rest of a body until it has ended, some time has passed or `maxBytes`
 * have arrived, then stops reading and calls `done`.
 */
export function discardBody(
  message: IncomingMessage,
  maxBytes: number,
  turns: ReadingTurns,
  done: () => void,
): void {
  let bytes = 0;
  let isDone = false;
  const timer = setTimeout(finish, MAX_DISCARD_MS);

  function finish(): void {
    if (isDone) return;
    isDone = true;
    clearTimeout(timer);
    message.off('data', count);
    // A message that is paused would keep what is read until its connection is closed.
    if (!message.complete) holdReading(message.socket);
    done();
  }

  function count(chunk: Buffer): void {
    bytes += chunk.length;
    turns.noteRead(message, chunk.length);
    if (bytes > maxBytes) finish();
  }

  message.on('data', count);
  message.once('end', finish);
  message.once('close', finish);
  message.resume();
}
