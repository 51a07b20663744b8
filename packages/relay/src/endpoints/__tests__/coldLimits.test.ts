import {createRandom, VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {testRecord} from '../../__tests__/testRecord.js';
import {silentLog} from '../../log/boundedLog.js';
import {ALL_ON} from '../../switches.js';
import {ColdLimits} from '../coldLimits.js';
import type {Endpoint} from '../endpoint.js';
import {EndpointDirectory} from '../endpointDirectory.js';
import {ZoneEvacuations} from '../zoneEvacuations.js';

const WARM_UP = {durationMs: 4_000, ratePerS: 8};
const SETTLE_MS = 3_000;

let clock: VirtualClock;
let zones: ZoneEvacuations;
let directory: EndpointDirectory;

beforeEach(async () => {
  clock = new VirtualClock();
  zones = new ZoneEvacuations(clock, silentLog, () => 5_000);
  directory = new EndpointDirectory(clock, silentLog, ALL_ON, zones);
});

function limitsOf(self: string, members: readonly string[]): ColdLimits {
  const sharers = {self, members: () => members};
  return new ColdLimits(
    clock,
    () => WARM_UP,
    sharers,
    () => SETTLE_MS,
  );
}

function register(warmupLeftMs: number, revision = 1): Endpoint {
  directory.upsert(testRecord({warmupLeftMs}), revision);
  return directory.get('a')!;
}

/** Sends all that the limits allow now; how many these are. */
function sendAll(limits: ColdLimits, endpoint: Endpoint): number {
  for (let count = 0; count < 100; count++) {
    if (!limits.allows(endpoint)) return count;
    limits.noteSend(endpoint);
  }
  return 100;
}

describe('sends to a cold endpoint', () => {
  it('are limited until it is warm', async () => {
    const limits = limitsOf('e-1', ['e-1', 'e-2']);
    await clock.advance(SETTLE_MS);
    const endpoint = register(2_500);
    expect(sendAll(limits, endpoint)).toBe(4);
    expect(limits.freeInMs(endpoint)).toBe(1_000);
    await clock.advance(400);
    expect(sendAll(limits, endpoint)).toBe(0);
    await clock.advance(601);
    expect(sendAll(limits, endpoint)).toBe(4);
    await clock.advance(1_600);
    expect(sendAll(limits, endpoint)).toBe(100);
  });

  it('are as few as can be while others may not be seen yet', () => {
    const limits = limitsOf('e-1', []);
    expect(sendAll(limits, register(2_500))).toBe(1);
  });

  it('are limited by the entries that were seen, once these have lapsed', async () => {
    let members = ['e-1', 'e-2', 'e-3', 'e-4'];
    const sharers = {self: 'e-1', members: () => members};
    const limits = new ColdLimits(
      clock,
      () => WARM_UP,
      sharers,
      () => SETTLE_MS,
    );
    await clock.advance(SETTLE_MS);
    const endpoint = register(60_000);
    expect(sendAll(limits, endpoint)).toBe(2);
    members = ['e-1'];
    await clock.advance(15_000);
    expect(sendAll(limits, endpoint)).toBe(2);
    await clock.advance(20_000);
    expect(sendAll(limits, endpoint)).toBe(8);
  });

  it('may go elsewhere after they were counted', async () => {
    const limits = limitsOf('e-1', ['e-1', 'e-2']);
    await clock.advance(SETTLE_MS);
    const endpoint = register(2_500);
    expect(sendAll(limits, endpoint)).toBe(4);
    limits.withdrawSend(endpoint);
    expect(sendAll(limits, endpoint)).toBe(1);
  });

  it('never pass the rate in any second, whoever sends when', async () => {
    const random = createRandom(7);
    const members = Array.from({length: 22}, (_, index) => `e-${index}`);
    const all = members.map((self) => limitsOf(self, members));
    await clock.advance(SETTLE_MS);
    const endpoint = register(60_000);
    const sentMs: number[] = [];
    for (let step = 0; step < 3_000; step++) {
      await clock.advance(random() * 5);
      const limits = all[Math.floor(random() * all.length)]!;
      if (!limits.allows(endpoint)) continue;
      limits.noteSend(endpoint);
      sentMs.push(clock.nowMs());
    }
    const most = Math.max(
      ...sentMs.map(
        (fromMs) =>
          sentMs.filter((ms) => ms >= fromMs && ms < fromMs + 1_000).length,
      ),
    );
    expect(most).toBeLessThanOrEqual(WARM_UP.ratePerS);
    expect(most).toBeGreaterThan(1);
  });
});

describe('an endpoint that may be cold and has not said so', () => {
  let limits: ColdLimits;

  beforeEach(async () => {
    limits = limitsOf('e-1', ['e-1', 'e-2']);
    await clock.advance(SETTLE_MS);
  });

  it('is not limited where nothing happened', () => {
    expect(sendAll(limits, register(0))).toBe(100);
  });

  it('is limited when its zone is taken back', async () => {
    const endpoint = register(0);
    zones.noteOrdered('north', 2, clock.nowMs());
    await clock.advance(8_000);
    zones.noteEnded('north', 3);
    expect(sendAll(limits, endpoint)).toBe(4);
    await clock.advance(WARM_UP.durationMs);
    expect(sendAll(limits, endpoint)).toBe(100);
  });

  it('is limited when its registration is back', async () => {
    const endpoint = register(0);
    directory.remove('a');
    await clock.advance(400);
    register(0, 2);
    expect(sendAll(limits, endpoint)).toBe(4);
  });

  it('is limited when it says that it has become cold again', () => {
    register(0);
    expect(sendAll(limits, register(1_000, 2))).toBe(4);
  });
});
