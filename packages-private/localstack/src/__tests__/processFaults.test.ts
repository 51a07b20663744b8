import {randomBytes} from 'node:crypto';
import {toMintedKey} from '@lilacledge/shared';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {WebSocket} from 'ws';
import {postBooking, postJson, streamGeneration, waitFor} from '../index.js';
import type {SidecarProcess, StreamedAnswer} from '../index.js';
import {recordedRuns, startSmallStack, waitUntilServing} from './smallStack.js';
import type {SmallStack} from './smallStack.js';

function mintKey(): string {
  return toMintedKey(Date.now(), randomBytes(10));
}

/** Expects each token exactly once, in order and from a single generation. */
function expectOneGeneration(texts: readonly string[], count: number): void {
  const generations = new Set(texts.map((text) => text.split('#')[0]));
  expect(generations.size).toBe(1);
  const indexes = texts.map((text) => Number(text.split('#')[1]));
  expect(indexes).toEqual([...Array(count).keys()]);
}

describe('requests while processes fail', () => {
  let small: SmallStack;

  beforeEach(async () => {
    small = await startSmallStack();
  });

  afterEach(() => small.stack.stop());

  function generate(
    entry: number,
    tokens: number,
    overrides: Partial<Parameters<typeof streamGeneration>[0]> = {},
  ): Promise<StreamedAnswer> {
    return streamGeneration({
      url: small.entries[entry]!.url,
      organisation: 'clark-yard',
      model: 'drafting-1',
      prompt: `a draft [[output=${tokens}]]`,
      ...overrides,
    });
  }

  function book(entry: number, key: string) {
    return postBooking({
      url: small.entries[entry]!.url,
      organisation: 'clark-yard',
      service: 'booking-api',
      body: {key},
      key,
    });
  }

  async function findBusyEngine(): Promise<SidecarProcess> {
    return waitFor('a busy engine', async () => {
      for (const engine of small.engines) {
        const response = await fetch(`${engine.endpointUrl}/engine/counters`);
        const {started} = (await response.json()) as {started: number};
        if (started > 0) return engine;
      }
      return undefined;
    });
  }

  it('an entry is killed: the caller resumes at the other entry', async () => {
    const first = await generate(0, 300, {
      onToken: ({texts}) => {
        if (texts.length >= 60) small.entries[0].child.signal('SIGKILL');
      },
    });
    expect(first.isBroken).toBe(true);
    const rest = await generate(1, 300, {lastEventId: first.eventIds.at(-1)!});
    expect(rest.isComplete).toBe(true);
    expectOneGeneration([...first.texts, ...rest.texts], 300);
  });

  it('a sidecar is killed during a stream: the stream ends with an error event', async () => {
    const answer = generate(0, 2_000);
    const engine = await findBusyEngine();
    await waitFor('tokens', async () => {
      const response = await fetch(`${engine.endpointUrl}/engine/counters`);
      const counters = (await response.json()) as {producedTokens: number};
      return counters.producedTokens > 50 ? true : undefined;
    });
    engine.child.signal('SIGKILL');
    const {isComplete, isBroken, error} = await answer;
    expect(isComplete).toBe(false);
    expect(isBroken).toBe(false);
    expect(error).toMatchObject({verdict: 'mayHaveRun'});
  });

  it('a sidecar is suspended and continues: no token is lost or repeated', async () => {
    const answer = generate(0, 900);
    const engine = await findBusyEngine();
    engine.child.signal('SIGSTOP');
    // Longer than the idle timeout of a link.
    await new Promise((resolve) => setTimeout(resolve, 7_000));
    engine.child.signal('SIGCONT');
    const {isComplete, texts, status} = await answer;
    expect(status).toBe(200);
    expect(isComplete).toBe(true);
    expectOneGeneration(texts, 900);
  });

  it('a sidecar is killed during a booking: it has run once and is not repeated', async () => {
    await Promise.all(
      small.plainSidecars.map((sidecar) =>
        postJson(`${sidecar.endpointUrl}/control`, {delayMs: 3_000}),
      ),
    );
    const key = mintKey();
    const first = book(0, key);
    const sidecar = await waitFor('a run', async () => {
      for (const candidate of small.plainSidecars) {
        const runs = await recordedRuns([candidate]);
        if (runs.length > 0) return candidate;
      }
      return undefined;
    });
    sidecar.child.signal('SIGKILL');
    await sidecar.child.exited;
    const restarted = await small.stack.restartSidecar(sidecar.instanceId);
    expect(restarted.isRunning).toBe(true);
    expect((await first).body).toMatchObject({verdict: 'mayHaveRun'});
    await waitUntilServing(small);
    const again = await book(1, key);
    expect(again.body).toMatchObject({verdict: 'mayHaveRun'});
    expect(await recordedRuns(small.plainSidecars)).toHaveLength(1);
  });

  it('the platform is down: entries serve callers from the state they already hold', async () => {
    await small.stack.controlPlatform({isDown: true});
    const [stream, booking] = await Promise.all([
      generate(0, 50),
      book(1, mintKey()),
    ]);
    expect(stream.isComplete).toBe(true);
    expect(booking.status).toBe(201);
    const change = await small.stack.operator(small.entries[0]).applyConfig({
      writeId: 'during',
      author: 'test',
      baseRevision: 1n,
      document: '{"services": {}, "organisations": [], "routes": []}',
    });
    expect(change.outcome).not.toBe(1);
  });

  it('SIGTERM to a sidecar interrupts no request, and it exits with code 0', async () => {
    const answers = Array.from({length: 8}, (_, index) =>
      generate(index % 2, 400),
    );
    const engine = await findBusyEngine();
    engine.child.signal('SIGTERM');
    for (const answer of await Promise.all(answers)) {
      expect(answer.isComplete).toBe(true);
      expectOneGeneration(answer.texts, 400);
    }
    expect(await engine.child.exited).toBe(0);
  });

  it('SIGTERM to an entry interrupts no request, not even that of a slow reader', async () => {
    const slow = generate(0, 400, {
      onToken: async ({texts}) => {
        if (texts.length < 300) {
          await new Promise((resolve) => setTimeout(resolve, 15));
        }
      },
    });
    const fast = generate(0, 400);
    await findBusyEngine();
    small.entries[0].child.signal('SIGTERM');
    for (const answer of await Promise.all([slow, fast])) {
      expect(answer.isComplete).toBe(true);
      expectOneGeneration(answer.texts, 400);
    }
    expect(await small.entries[0].child.exited).toBe(0);
  });

  it('a slow reader does not delay other streams', async () => {
    let isFastDone = false;
    const slow = generate(0, 600, {
      onToken: () =>
        isFastDone
          ? undefined
          : new Promise((resolve) => setTimeout(resolve, 200)),
    });
    const fast = await Promise.all([
      generate(0, 300),
      generate(0, 300),
      generate(0, 300),
    ]);
    isFastDone = true;
    expect(fast.every(({isComplete}) => isComplete)).toBe(true);
    const answer = await slow;
    expect(answer.isComplete).toBe(true);
    expectOneGeneration(answer.texts, 600);
  });

  describe('a link that violates the protocol is closed without effect on other links', () => {
    it.each([
      ['malformed data', Buffer.from('no message')],
      ['an oversize frame', Buffer.alloc(5 * 1024 * 1024)],
      ['a message before the handshake', Buffer.from([0x80])],
    ])('%s', async (_, frame) => {
      const running = generate(0, 200);
      const engine = await findBusyEngine();
      const socket = new WebSocket(`ws://127.0.0.1:${engine.port}/link`);
      socket.on('error', () => {});
      const closed = new Promise((resolve) => socket.once('close', resolve));
      await new Promise((resolve) => socket.once('open', resolve));
      socket.send(frame);
      await closed;
      const answer = await running;
      expect(answer.isComplete).toBe(true);
      expectOneGeneration(answer.texts, 200);
    });
  });
});
