import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {Endpoint} from '../../endpoints/endpoint.js';
import {testRecord} from '../../__tests__/testRecord.js';
import {LoadLooks} from '../loadLooks.js';
import type {Peer} from '../peerMesh.js';

const PROMPT = {requestId: 'r', promptTokens: 100};

let clock: VirtualClock;
let asked: string[];
let linked: Set<string>;
let looks: LoadLooks;

beforeEach(() => {
  clock = new VirtualClock();
  asked = [];
  linked = new Set(['a', 'b']);
  looks = new LoadLooks(({id}) => {
    if (!linked.has(id)) return undefined;
    return {
      send: ({type}) => asked.push(`${type} ${id}`),
    } as Partial<Peer> as Peer;
  }, clock);
});

function endpoint(id: string): Endpoint {
  return new Endpoint(testRecord({id}), 0);
}

/** Whether a look has come to its end, once what is due now is done. */
async function hasEnded(look: Promise<void>): Promise<boolean> {
  let ended = false;
  void look.then(() => (ended = true));
  await clock.advance(0);
  return ended;
}

describe('a look at engines', () => {
  it('ends once all have told their load', async () => {
    const [a, b] = [endpoint('a'), endpoint('b')];
    const look = looks.ask([a, b], PROMPT);
    expect(asked).toEqual(['loadAsk a', 'loadAsk b']);
    looks.noteLoad(a);
    expect(await hasEnded(look)).toBe(false);
    looks.noteLoad(b);
    expect(await hasEnded(look)).toBe(true);
  });

  it('leaves those out whose sidecars cannot be asked', async () => {
    expect(await hasEnded(looks.ask([endpoint('c')], PROMPT))).toBe(true);
    expect(asked).toEqual([]);
  });

  it('does not wait long for a sidecar that is dead', async () => {
    const look = looks.ask([endpoint('a')], PROMPT);
    await clock.advance(50);
    expect(await hasEnded(look)).toBe(true);
  });

  it('serves all who look at the same engine', async () => {
    const a = endpoint('a');
    const both = [looks.ask([a], PROMPT), looks.ask([a], PROMPT)];
    looks.noteLoad(a);
    for (const look of both) expect(await hasEnded(look)).toBe(true);
  });

  it('tells those that were asked in vain', () => {
    looks.release([endpoint('a'), endpoint('c')], PROMPT);
    expect(asked).toEqual(['loadRelease a']);
  });
});
