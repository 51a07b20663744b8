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

/** The one reader of a generation at a time. */
export interface Reader {
  readonly link: Link;
  readonly callId: number;
  /** Next token to send. */
  offset: number;
  /** Tokens that may still be sent. */
  credit: number;
}

/** Most tokens in one message. */
const MAX_TOKENS_PER_MESSAGE = 512;

/**
 * The log of one generation: every token in order, and how it ended. The log
 * outlives its reader, so that another link can go on from any offset. It is
 * bounded by the most output that was asked for.
 */
export class Generation {
  readonly abort = new AbortController();
  private readonly tokens: string[] = [];
  private end: GenerationEnd | undefined;
  private reader: Reader | undefined;
  private releaseReader: () => void = () => {};
  private cancelGrace: CancelTimer | undefined;

  constructor(
    readonly id: string,
    readonly request: Submit,
    readonly arrivedMs: number,
    private readonly clock: Clock,
    private readonly resumeGraceMs: number,
  ) {}

  get produced(): number {
    return this.tokens.length;
  }

  get isEnded(): boolean {
    return this.end !== undefined;
  }

  get hasReader(): boolean {
    return this.reader !== undefined;
  }

  /** Adds tokens; ignored after the end, so late ones reach nobody. */
  append(texts: readonly string[]): void {
    if (this.end !== undefined) return;
    for (const text of texts) this.tokens.push(text);
    this.send();
  }

  /** Ends the generation once; later ends are ignored. */
  finish(end: GenerationEnd): void {
    if (this.end !== undefined) return;
    this.end = end;
    this.cancelGrace?.();
    this.send();
  }

  /**
   * Takes the place of an earlier reader, which is told so. `onRelease` is
   * called once, when this reader has been sent the end or has been replaced.
   */
  attach(reader: Reader, onRelease: () => void): void {
    this.cancelGrace?.();
    const earlier = this.takeReader();
    this.reader = reader;
    this.releaseReader = onRelease;
    if (earlier !== undefined) {
      const failure = mayHaveRun(
        FailureKind.SUPERSEDED,
        'another reader took this stream over',
      );
      earlier.link.send({type: 'failed', callId: earlier.callId, failure});
    }
    this.send();
  }

  /** The reader is gone; the generation goes on for a grace period. */
  detach(link: Link, callId: number): void {
    if (this.reader?.link !== link || this.reader.callId !== callId) return;
    this.takeReader();
    if (this.end !== undefined) return;
    this.cancelGrace = this.clock.after(this.resumeGraceMs, () => {
      this.cancel('no reader came back');
    });
  }

  addCredit(count: number): void {
    if (this.reader === undefined) return;
    this.reader.credit += count;
    this.send();
  }

  /** Ends the generation here and at the engine. */
  cancel(detail: string): void {
    this.finish({
      kind: 'failed',
      failure: mayHaveRun(FailureKind.CANCELLED, detail),
    });
    this.abort.abort();
  }

  private send(): void {
    const reader = this.reader;
    if (reader === undefined) return;
    this.sendTokens(reader);
    if (this.end !== undefined && reader.offset >= this.tokens.length) {
      this.takeReader();
      this.sendEnd(reader, this.end);
    }
  }

  private takeReader(): Reader | undefined {
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
      const texts = this.tokens.slice(reader.offset, reader.offset + count);
      const {callId, offset} = reader;
      reader.link.send({type: 'tokens', callId, offset, texts});
      reader.offset += texts.length;
      reader.credit -= texts.length;
    }
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
