import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {BULK_PIECE_BYTES} from '@lilacledge/policy';
import type {GarbageBound} from '@lilacledge/policy';
import {holdReading} from './holdReading.js';
import type {LoopTurns} from './loopTurns.js';

/**
 * Lets connections that deliver large bodies or answers wait for their turns. The event loop
 * would otherwise read from all of them in each iteration, and take one new connection.
 */
export class ReadingTurns {
  private readonly bytesSinceTurn = new WeakMap<Socket, number>();
  private readonly waiting = new Set<Socket>();

  constructor(
    private readonly garbage: GarbageBound,
    private readonly turns: LoopTurns,
  ) {}

  /** Whether a connection is not read until its turn. */
  isWaiting(socket: Socket): boolean {
    return this.waiting.has(socket);
  }

  /** Notes a chunk of a body or an answer, after which its connection may have to wait. */
  noteRead({socket}: IncomingMessage, bytes: number): void {
    this.garbage.noteRead(bytes);
    const sumBytes = (this.bytesSinceTurn.get(socket) ?? 0) + bytes;
    if (sumBytes < BULK_PIECE_BYTES) {
      this.bytesSinceTurn.set(socket, sumBytes);
      return;
    }
    this.bytesSinceTurn.set(socket, 0);
    if (!this.waiting.has(socket)) this.awaitTurn(socket);
  }

  private awaitTurn(socket: Socket): void {
    this.waiting.add(socket);
    const readOn = holdReading(socket);
    this.turns.add(() => {
      this.waiting.delete(socket);
      readOn();
    });
  }
}
