import type {CancelTimer, Clock, Failure} from '@lilacledge/shared';
import {FailureKind, mayHaveRun} from '@lilacledge/shared';
import type {Link, Submit} from '@lilacledge/protocol';

/** How a generation ended. */
export type GenerationEnd =
  | {
      readonly kind: 'done';
      readonly finishReason: string;
      readonly promptTokens: number;
    }
  | {readonly kind: 'failed'; readonly failure: Failure};

/** The link that receives a generation; there is one at a time. */
export interface Reader {
  readonly link: Link;
  readonly callId: number;
  /** Next token to send. */
  offset: number;
  /** Tokens that may still be sent. */
  credit: number;
}

/** Limit of tokens in one message. */
const MAX_TOKENS_PER_MESSAGE = 512;

/** A message ends after this much text, so that it fits into a frame. */
const MAX_CHARS_PER_MESSAGE = 256 * 1024;

/**
 * The output log of one generation: every token in order, and how it ended. The
 * log outlives its reader, so another link can resume from any offset. Its size
 * is bounded by the requested maximum output.
 */
export class Generation {
  readonly abort = new AbortController();
  private readonly tokens: string[] = [];
  private end: GenerationEnd | undefined;
  private reader: Reader | undefined;
  private releaseReader: () => void = () => {};
  private cancelGraceTimer: CancelTimer | undefined;

  constructor(
    readonly id: string,
    readonly request: Submit,
    readonly arrivedMs: number,
    private readonly clock: Clock,
    private readonly resumeGraceMs: number,
  ) {}

  get producedTokens(): number {
    return this.tokens.length;
  }

  get isEnded(): boolean {
    return this.end !== undefined;
  }

  get hasReader(): boolean {
    return this.reader !== undefined;
  }

  /** Appends tokens; ignored after the end, so late tokens reach no reader. */
  append(texts: readonly string[]): void {
    if (this.end !== undefined) return;
    for (const text of texts) this.tokens.push(text);
    this.sendPending();
  }

  /** Ends the generation; later calls are ignored. */
  finish(end: GenerationEnd): void {
    if (this.end !== undefined) return;
    this.end = end;
    this.cancelGraceTimer?.();
    this.sendPending();
  }

  /**
   * Sets the reader. A previous one is replaced and receives a `SUPERSEDED`
   * failure. `onRelease` is called once, when this reader has been sent the
   * end, has been replaced, or was detached.
   */
  attach(reader: Reader, onRelease: () => void): void {
    this.cancelGraceTimer?.();
    const previous = this.removeReader();
    this.reader = reader;
    this.releaseReader = onRelease;
    if (previous !== undefined) {
      const failure = mayHaveRun(
        FailureKind.SUPERSEDED,
        'another reader took this stream over',
      );
      previous.link.send({type: 'failed', callId: previous.callId, failure});
    }
    this.sendPending();
  }

  /** Removes the reader; without a new one in the grace period, cancels. */
  detach(link: Link, callId: number): void {
    if (this.reader?.link !== link || this.reader.callId !== callId) return;
    this.removeReader();
    if (this.end !== undefined) return;
    this.cancelGraceTimer = this.clock.after(this.resumeGraceMs, () => {
      this.cancel('no reader came back');
    });
  }

  addCredit(count: number): void {
    if (this.reader === undefined) return;
    this.reader.credit += count;
    this.sendPending();
  }

  /** Ends the generation in the log and aborts it at the engine. */
  cancel(detail: string): void {
    this.finish({
      kind: 'failed',
      failure: mayHaveRun(FailureKind.CANCELLED, detail),
    });
    this.abort.abort();
  }

  private sendPending(): void {
    const reader = this.reader;
    if (reader === undefined) return;
    this.sendTokens(reader);
    if (this.end !== undefined && reader.offset >= this.tokens.length) {
      this.removeReader();
      this.sendEnd(reader, this.end);
    }
  }

  private removeReader(): Reader | undefined {
    const reader = this.reader;
    const release = this.releaseReader;
    this.reader = undefined;
    this.releaseReader = () => {};
    release();
    return reader;
  }

  private sendTokens(reader: Reader): void {
    while (reader.credit > 0 && reader.offset < this.tokens.length) {
      const count = Math.min(reader.credit, MAX_TOKENS_PER_MESSAGE);
      const texts = this.textsFrom(reader.offset, count);
      const {callId, offset} = reader;
      reader.link.send({type: 'tokens', callId, offset, texts});
      reader.offset += texts.length;
      reader.credit -= texts.length;
    }
  }

  private textsFrom(offset: number, maxCount: number): string[] {
    const texts: string[] = [];
    let chars = 0;
    for (const text of this.tokens.slice(offset, offset + maxCount)) {
      texts.push(text);
      chars += text.length;
      if (chars >= MAX_CHARS_PER_MESSAGE) break;
    }
    return texts;
  }

  private sendEnd(reader: Reader, end: GenerationEnd): void {
    const {link, callId, offset} = reader;
    if (end.kind === 'failed') {
      link.send({type: 'failed', callId, failure: end.failure});
      return;
    }
    const {finishReason, promptTokens} = end;
    link.send({type: 'done', callId, offset, finishReason, promptTokens});
  }
}
