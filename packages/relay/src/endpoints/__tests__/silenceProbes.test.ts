import {OpenSend} from '@lilacledge/policy';
import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {testRecord} from '../../__tests__/testRecord.js';
import {Endpoint} from '../endpoint.js';
import {SilenceProbes} from '../silenceProbes.js';

const SILENT_AFTER_MS = 600;

let clock: VirtualClock;
let endpoint: Endpoint;
let probes: SilenceProbes;
let isKnown: boolean;
let isAnswering: boolean;
let probedMs: number[];
let healthPath: string | undefined;

beforeEach(() => {
  clock = new VirtualClock();
  endpoint = new Endpoint(testRecord(), clock.nowMs());
  isKnown = true;
  isAnswering = false;
  probedMs = [];
  healthPath = '/healthz';
  probes = new SilenceProbes({
    clock,
    log: {
      info: () => {},
      warn: () => {},
      error: () => {},
      debug: () => {},
      droppedLines: 0,
    },
    isKnown: () => isKnown,
    silentAfterMs: () => SILENT_AFTER_MS,
    healthPathOf: () => healthPath,
    check: async () => {
      probedMs.push(clock.nowMs());
      return isAnswering;
    },
    signal: new AbortController().signal,
  });
});

/** A send that its caller gives up after some time. */
async function leaveUnanswered(): Promise<void> {
  const {unanswered} = endpoint.announced;
  const send = new OpenSend(clock.nowMs());
  unanswered.add(send, clock.nowMs());
  await clock.advance(300);
  unanswered.noteAbandoned(send, clock.nowMs());
  probes.watch(endpoint);
}

describe('SilenceProbes', () => {
  it('probe an endpoint once it counts as silent', async () => {
    const startMs = clock.nowMs();
    await leaveUnanswered();
    await clock.advance(5_000);
    expect(probedMs[0]! - startMs).toBeGreaterThan(SILENT_AFTER_MS);
    expect(probedMs.length).toBeGreaterThan(3);
  });

  // Guards against an endpoint that gets no request because it had stopped answering once.
  it('end the silence with the first answer', async () => {
    await leaveUnanswered();
    await clock.advance(3_000);
    isAnswering = true;
    await clock.advance(1_500);
    expect(endpoint.announced.unanswered.silentForMs(clock.nowMs())).toBe(0);
    expect(endpoint.announced.unanswered.count).toBe(0);
    const count = probedMs.length;
    await clock.advance(10_000);
    expect(probedMs).toHaveLength(count);
  });

  it('need none if a request is answered', async () => {
    await leaveUnanswered();
    const later = new OpenSend(clock.nowMs());
    endpoint.announced.unanswered.add(later, clock.nowMs());
    endpoint.announced.unanswered.noteAnswered(later, clock.nowMs());
    await clock.advance(5_000);
    expect(probedMs).toEqual([]);
  });

  it('wait while the endpoint asks for a backoff', async () => {
    endpoint.announced.backoff.noteRequest(3_000, clock.nowMs());
    const startMs = clock.nowMs();
    await leaveUnanswered();
    await clock.advance(5_000);
    expect(probedMs[0]! - startMs).toBeGreaterThanOrEqual(3_000);
  });

  it('are not made while the endpoint is not registered', async () => {
    await leaveUnanswered();
    isKnown = false;
    await clock.advance(5_000);
    expect(probedMs).toEqual([]);
  });

  // Guards against an endpoint that gets no work after it was cut off for longer than its lease.
  it('are made again when its registration is back', async () => {
    await leaveUnanswered();
    isKnown = false;
    await clock.advance(20_000);
    isKnown = true;
    isAnswering = true;
    await clock.advance(1_000);
    expect(probedMs).toHaveLength(1);
    expect(endpoint.announced.unanswered.silentForMs(clock.nowMs())).toBe(0);
  });

  it('are not made where a service has no health checks', async () => {
    healthPath = undefined;
    await leaveUnanswered();
    await clock.advance(5_000);
    expect(probedMs).toEqual([]);
  });
});
