import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {EventSplitter} from '../eventSplitter.js';

function split(chunks: readonly string[]): {ids: unknown[]; text: string} {
  const splitter = new EventSplitter();
  const events = chunks.flatMap((chunk) => splitter.feed(Buffer.from(chunk)));
  return {
    ids: events.map(({id}) => id),
    text: events.map(({bytes}) => bytes.toString()).join(''),
  };
}

const STREAM = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n';

describe('EventSplitter', () => {
  it('returns events and their ids', () => {
    expect(split([STREAM])).toEqual({
      ids: ['1', '2', undefined],
      text: STREAM,
    });
  });

  it('holds back an incomplete event', () => {
    const splitter = new EventSplitter();
    expect(splitter.feed(Buffer.from('id: 1\ndata: a\n'))).toHaveLength(0);
    expect(splitter.hasPartialEvent).toBe(true);
    expect(splitter.feed(Buffer.from('\n'))).toHaveLength(1);
    expect(splitter.hasPartialEvent).toBe(false);
  });

  it('returns the same events for any chunk boundaries', () => {
    const whole = split([STREAM]);
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 0, max: STREAM.length}), {maxLength: 8}),
        (cuts) => {
          const ends = [0, ...cuts.sort((a, b) => a - b), STREAM.length];
          const chunks = ends.slice(1).map((end, at) => {
            return STREAM.slice(ends[at], end);
          });
          expect(split(chunks)).toEqual(whole);
        },
      ),
    );
  });

  it('throws when an event exceeds the maximum size', () => {
    const splitter = new EventSplitter();
    const part = Buffer.alloc(600 * 1024, 'x');
    splitter.feed(part);
    expect(() => splitter.feed(part)).toThrow('event too large');
  });
});
