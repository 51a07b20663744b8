import type {IncomingMessage, ServerResponse} from 'node:http';
import {HELD_CHECK_INTERVAL_MS, HeldAnswerBytes} from '@lilacledge/policy';
import type {HeldAnswerState} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import {holdReading} from '../http/holdReading.js';
import {PayloadBuilder, payloadChunks} from '../http/payload.js';
import type {ReadingTurns} from '../http/readingTurns.js';
import type {Logger} from '../log/boundedLog.js';

/** Bytes that are given to the caller's connection at a time, so that its progress shows. */
const MAX_IN_FLIGHT_BYTES = 64 * 1024;

/** A complete answer, or the reason why it is incomplete. */
export type AnswerOutcome =
  | {readonly kind: 'whole'; readonly answer: HeldAnswer}
  | {readonly kind: 'tooLarge'}
  | {readonly kind: 'cut'; readonly detail: string};

export interface HeldAnswersOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly readingTurns: ReadingTurns;
  /** Bound on the bytes held by this process. */
  readonly limitBytes: () => number;
  /** Called for each caller that took nothing while others waited for room. */
  readonly onGivenUp: () => void;
}

/** The plain answers held by this process. */
export class HeldAnswers {
  private readonly bytes: HeldAnswerBytes;
  private readonly resumeOf = new Map<HeldAnswerState, () => void>();
  private readonly delivered = new Map<HeldAnswerState, HeldAnswer>();
  private cancelCheck: (() => void) | undefined;

  constructor(private readonly options: HeldAnswersOptions) {
    this.bytes = new HeldAnswerBytes(options.limitBytes);
  }

  get totalBytes(): number {
    return this.bytes.totalBytes;
  }

  /**
   * Reads an answer of at most `maxBytes`, with pauses while it has no room. The result must be
   * delivered or closed. Never rejects.
   */
  read(message: IncomingMessage, maxBytes: number): Promise<AnswerOutcome> {
    return new Promise((resolve) => {
      const builder = new PayloadBuilder();
      const state = this.bytes.open(statedLength(message));
      let readOn: (() => void) | undefined;
      let hasEnded = false;
      const pause = (): void => {
        if (readOn !== undefined) return;
        readOn = holdReading(message.socket);
        this.notePause(state);
      };
      this.resumeOf.set(state, () => {
        readOn?.();
        readOn = undefined;
      });

      const end = (outcome: AnswerOutcome): void => {
        if (hasEnded) return;
        hasEnded = true;
        this.resumeOf.delete(state);
        if (outcome.kind !== 'whole') this.close(state);
        resolve(outcome);
      };
      if (state.isPaused) pause();
      message.on('data', (chunk: Buffer) => {
        this.options.readingTurns.noteRead(message, chunk.length);
        if (hasEnded) return;
        if (builder.bytes + chunk.length > maxBytes) {
          builder.clear();
          end({kind: 'tooLarge'});
          return;
        }
        this.bytes.add(state, builder.add(chunk));
        if (state.isPaused) pause();
      });
      message.on('end', () => {
        if (!message.complete) {
          end({kind: 'cut', detail: 'short body'});
          return;
        }
        this.notifyResumed(this.bytes.complete(state));
        const chunks = payloadChunks(builder.finish());
        end({kind: 'whole', answer: new HeldAnswer(this, state, chunks)});
      });
      message.on('error', (error) => {
        end({kind: 'cut', detail: error.message});
      });
      message.on('close', () => {
        end({kind: 'cut', detail: 'connection closed'});
      });
    });
  }

  noteDelivery(state: HeldAnswerState, answer: HeldAnswer): void {
    this.delivered.set(state, answer);
  }

  /** Counts bytes as taken by the caller. */
  remove(state: HeldAnswerState, bytes: number): void {
    this.notifyResumed(this.bytes.remove(state, bytes));
  }

  close(state: HeldAnswerState): void {
    this.delivered.delete(state);
    this.notifyResumed(this.bytes.close(state));
  }

  private notePause(state: HeldAnswerState): void {
    this.options.log.info('answer.paused', {
      bytes: state.heldBytes,
      heldBytes: this.totalBytes,
    });
    this.scheduleCheck();
  }

  private notifyResumed(resumed: readonly HeldAnswerState[]): void {
    for (const state of resumed) this.resumeOf.get(state)?.();
  }

  private scheduleCheck(): void {
    if (this.cancelCheck !== undefined || !this.bytes.needsChecks) return;
    const {clock} = this.options;
    this.cancelCheck = clock.after(HELD_CHECK_INTERVAL_MS, () => {
      this.cancelCheck = undefined;
      for (const state of this.bytes.check()) this.giveUp(state);
      this.scheduleCheck();
    });
  }

  private giveUp(state: HeldAnswerState): void {
    const answer = this.delivered.get(state);
    if (answer === undefined) return;
    const {log, onGivenUp} = this.options;
    log.warn('answer.givenUp', {
      bytes: state.heldBytes,
      heldBytes: this.totalBytes,
    });
    onGivenUp();
    answer.abort();
  }
}

/** A complete plain answer, which counts as held until its caller has taken it. */
export class HeldAnswer {
  private readonly chunks: Buffer[];
  private response: ServerResponse | undefined;
  private isClosed = false;

  constructor(
    private readonly answers: HeldAnswers,
    private readonly state: HeldAnswerState,
    chunks: readonly Buffer[],
  ) {
    this.chunks = [...chunks];
  }

  get bytes(): number {
    return this.chunks.reduce((sum, {length}) => sum + length, 0);
  }

  /** Sends the body of a response whose head was written. */
  deliver(response: ServerResponse): void {
    this.response = response;
    this.answers.noteDelivery(this.state, this);
    response.once('finish', this.close);
    response.once('close', this.close);
    // A response that waits behind another on its connection isn't closed with it.
    response.req.socket.once('close', this.close);
    if (response.destroyed) this.close();
    else this.sendNext();
  }

  /** Closes the answer unless it is being delivered. */
  closeUndelivered(): void {
    if (this.response === undefined) this.close();
  }

  /** Closes the connection so that the caller cannot take the answer for complete. */
  abort(): void {
    this.response?.destroy();
    this.close();
  }

  private sendNext(): void {
    const {response} = this;
    if (this.isClosed || response === undefined) return;
    const piece = this.takePiece();
    if (this.chunks.length === 0) {
      response.end(piece);
      return;
    }
    response.write(piece, () => {
      if (this.isClosed) return;
      this.answers.remove(this.state, piece.length);
      this.sendNext();
    });
  }

  private takePiece(): Buffer {
    const chunk = this.chunks.shift() ?? Buffer.alloc(0);
    if (chunk.length <= MAX_IN_FLIGHT_BYTES) return chunk;
    this.chunks.unshift(chunk.subarray(MAX_IN_FLIGHT_BYTES));
    return chunk.subarray(0, MAX_IN_FLIGHT_BYTES);
  }

  private readonly close = (): void => {
    if (this.isClosed) return;
    this.isClosed = true;
    this.chunks.length = 0;
    this.response?.req.socket.off('close', this.close);
    this.answers.close(this.state);
  };
}

/** The size that the head states; infinite if it states none. */
function statedLength({headers}: IncomingMessage): number {
  const text = headers['content-length'];
  return text === undefined ? Number.POSITIVE_INFINITY : Number(text);
}
