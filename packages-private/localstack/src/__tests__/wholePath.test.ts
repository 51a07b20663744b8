import {randomBytes} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {toMintedKey} from '@lilacledge/shared';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {
  LocalStack,
  postBooking,
  streamGeneration,
  waitFor,
  waitForOk,
} from '../index.js';
import type {StackProcess} from '../index.js';

const CONFIG = readFileSync(
  new URL('../../configs/bayanihan.jsonc', import.meta.url),
  'utf8',
);

describe('requests through entries and sidecars in separate processes', () => {
  const stack = new LocalStack();
  let entries: StackProcess[] = [];

  beforeAll(async () => {
    await stack.startPlatform();
    await Promise.all([
      stack.startEngineSidecar('drafting-1', 'drafting-llm', 'valenzuela'),
      stack.startEngineSidecar('drafting-2', 'drafting-llm', 'calamba'),
      stack.startPlainSidecar('booking-1', 'booking-api', 'valenzuela', {
        slotRoundMs: 100,
      }),
    ]);
    entries = [
      await stack.startEntry('entry-1', 'valenzuela'),
      await stack.startEntry('entry-2', 'calamba'),
    ];
    const applied = await stack.operator(entries[0]!).applyConfig({
      writeId: 'first',
      author: 'test',
      baseRevision: 0n,
      document: CONFIG,
    });
    expect(applied.revision).toBe(1n);
    await Promise.all(entries.map((entry) => waitForOk(`${entry.url}/readyz`)));
    await waitForEndpoints();
  });

  afterAll(() => stack.stop());

  async function waitForEndpoints(): Promise<void> {
    for (const entry of entries) {
      await waitFor('serving endpoints', async () => {
        const status = await stack.operator(entry).getStatus({});
        const serving = status.endpoints.filter(
          (endpoint) => endpoint.state === 'serving',
        );
        const slots = serving.reduce((sum, row) => sum + row.slots, 0);
        return serving.length === 3 && slots === 24 ? true : undefined;
      });
    }
  }

  describe('generations', () => {
    it('streams a generation through either entry', async () => {
      for (const entry of entries) {
        const answer = await streamGeneration({
          url: entry.url,
          organisation: 'clark-yard',
          model: 'drafting-1',
          prompt: 'quote for two drums [[output=40]]',
        });
        expect(answer.isComplete).toBe(true);
        expect(answer.texts).toHaveLength(40);
        const generations = new Set(
          answer.texts.map((text) => text.split('#')[0]),
        );
        expect(generations.size).toBe(1);
        const indexes = answer.texts.map((text) => Number(text.split('#')[1]));
        expect(indexes).toEqual([...Array(40).keys()]);
        expect(new Set(answer.eventIds).size).toBe(40);
      }
    });

    it('resumes at the other entry after the last event received', async () => {
      const controller = new AbortController();
      const first = await streamGeneration({
        url: entries[0]!.url,
        organisation: 'clark-yard',
        model: 'drafting-1',
        prompt: 'a long hire-term draft [[output=300]]',
        signal: controller.signal,
        onToken: (answer) => {
          if (answer.texts.length >= 50) controller.abort();
        },
      });
      expect(first.isComplete).toBe(false);
      const rest = await streamGeneration({
        url: entries[1]!.url,
        organisation: 'clark-yard',
        model: 'drafting-1',
        prompt: 'a long hire-term draft [[output=300]]',
        lastEventId: first.eventIds.at(-1)!,
      });
      expect(rest.isComplete).toBe(true);
      const texts = [...first.texts, ...rest.texts];
      expect(texts).toHaveLength(300);
      const indexes = texts.map((text) => Number(text.split('#')[1]));
      expect(indexes).toEqual([...Array(300).keys()]);
    });
  });

  it('has no open request after the callers have disconnected', async () => {
    for (const entry of entries) {
      await waitFor('no open request', async () => {
        const status = await stack.operator(entry).getStatus({});
        return status.openRequests === 0 ? true : undefined;
      });
    }
  });

  describe('plain services', () => {
    it('runs a booking once, however often its key is sent', async () => {
      const key = toMintedKey(Date.now(), randomBytes(10));
      const booking = {
        organisation: 'clark-yard',
        service: 'booking-api',
        body: {drums: 3},
        key,
      };
      const first = await postBooking({...booking, url: entries[0]!.url});
      const again = await postBooking({...booking, url: entries[1]!.url});
      expect(first.status).toBe(201);
      expect(again.body).toEqual(first.body);
      expect(again.isReplay).toBe(true);
    });

    it('refuses a booking without a key', async () => {
      const answer = await postBooking({
        url: entries[0]!.url,
        organisation: 'clark-yard',
        service: 'booking-api',
        body: {drums: 3},
      });
      expect(answer.status).toBe(400);
      expect(answer.body).toMatchObject({
        title: 'keyMissing',
        verdict: 'notRun',
      });
    });
  });
});
