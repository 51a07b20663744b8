import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {Endpoint} from '../../endpoints/endpoint.js';
import {testRecord} from '../../__tests__/testRecord.js';
import {LoadQueries} from '../loadQueries.js';
import type {Peer} from '../peerMesh.js';

const PROMPT = {requestId: 'r', promptTokens: 100};

let clock: VirtualClock;
let sentMessages: string[];
let linked: Set<string>;
let queries: LoadQueries;

beforeEach(() => {
  clock = new VirtualClock();
  sentMessages = [];
  linked = new Set(['a', 'b']);
  queries = new LoadQueries(({id}) => {
    if (!linked.has(id)) return undefined;
    return {
      send: ({type}) => sentMessages.push(`${type} ${id}`),
    } as Partial<Peer> as Peer;
  }, clock);
});

function endpoint(id: string): Endpoint {
  return new Endpoint(testRecord({id}), 0);
}

/** Whether a query has completed, after pending callbacks have run. */
async function hasCompleted(query: Promise<void>): Promise<boolean> {
  let isCompleted = false;
  void query.then(() => (isCompleted = true));
  await clock.advance(0);
  return isCompleted;
}

describe('LoadQueries', () => {
  it('completes once all loads were received', async () => {
    const [a, b] = [endpoint('a'), endpoint('b')];
    const query = queries.query([a, b], PROMPT);
    expect(sentMessages).toEqual(['loadAsk a', 'loadAsk b']);
    queries.noteLoad(a);
    expect(await hasCompleted(query)).toBe(false);
    queries.noteLoad(b);
    expect(await hasCompleted(query)).toBe(true);
  });

  it('skips endpoints without a link to their sidecars', async () => {
    expect(await hasCompleted(queries.query([endpoint('c')], PROMPT))).toBe(
      true,
    );
    expect(sentMessages).toEqual([]);
  });

  it('times out if a sidecar does not answer', async () => {
    const query = queries.query([endpoint('a')], PROMPT);
    await clock.advance(50);
    expect(await hasCompleted(query)).toBe(true);
  });

  it('completes all queries of the same engine with one load', async () => {
    const a = endpoint('a');
    const both = [queries.query([a], PROMPT), queries.query([a], PROMPT)];
    queries.noteLoad(a);
    for (const query of both) expect(await hasCompleted(query)).toBe(true);
  });

  it('releases the prompt at queried engines', () => {
    queries.release([endpoint('a'), endpoint('c')], PROMPT);
    expect(sentMessages).toEqual(['loadRelease a']);
  });
});
