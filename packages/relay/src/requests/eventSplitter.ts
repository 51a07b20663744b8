import type {PlacedEvent} from '@lilacledge/policy';

/** Line terminators of an event stream. */
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** More buffered bytes than this mean that the answer is not an event stream. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** One complete server-sent event. */
export interface StreamEvent extends PlacedEvent {
  /** Includes the terminating blank line. */
  readonly bytes: Buffer;
}

/** Splits a byte stream into complete server-sent events. */
export class EventSplitter {
  private tail: Buffer = Buffer.alloc(0);
  private scannedBytes = 0;

  /** True when the buffer holds an incomplete event. */
  get hasPartialEvent(): boolean {
    return this.tail.length > 0;
  }

  /** Appends a chunk and returns the events that it completes. */
  feed(chunk: Buffer): StreamEvent[] {
    this.tail =
      this.tail.length === 0 ? chunk : Buffer.concat([this.tail, chunk]);
    if (this.tail.length > MAX_EVENT_BYTES) throw new Error('event too large');
    const events: StreamEvent[] = [];
    for (;;) {
      const end = this.findEnd();
      if (end === undefined) return events;
      const bytes = this.tail.subarray(0, end);
      this.tail = this.tail.subarray(end);
      this.scannedBytes = 0;
      events.push({bytes, ...parsePlace(bytes)});
    }
  }

  /** Offset behind the next blank line; undefined while there is none. */
  private findEnd(): number | undefined {
    const {tail} = this;
    for (;;) {
      const lineFeedAt = tail.indexOf(LINE_FEED, this.scannedBytes);
      if (lineFeedAt < 0) {
        this.scannedBytes = tail.length;
        return undefined;
      }
      let next = lineFeedAt + 1;
      if (tail[next] === CARRIAGE_RETURN) next++;
      if (next >= tail.length) {
        this.scannedBytes = lineFeedAt;
        return undefined;
      }
      if (tail[next] === LINE_FEED) return next + 1;
      this.scannedBytes = next;
    }
  }
}

const ID_FIELD = /(?:^|\n)id: ?([^\r\n]*)/;

const DATA_FIELD = /(?:^|\n)data/;

function parsePlace(bytes: Buffer): PlacedEvent {
  const text = bytes.toString('latin1');
  return {id: ID_FIELD.exec(text)?.[1], hasData: DATA_FIELD.test(text)};
}
