import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {testRecord} from '../../__tests__/testRecord.js';
import {silentLog} from '../../log/boundedLog.js';
import {EndpointState} from '../../model/index.js';
import type {Endpoint} from '../endpoint.js';
import {EndpointDirectory} from '../endpointDirectory.js';
import {EndpointAnnouncements} from '../endpointAnnouncements.js';

const DRAIN_MS = 2_000;
const STARTED_AT_MS = 1_700_000_000_000;

let clock: VirtualClock;
let directory: EndpointDirectory;
let leavingIds: string[];

beforeEach(() => {
  clock = new VirtualClock();
  directory = new EndpointDirectory(clock, silentLog);
  leavingIds = [];
  directory.onLeaving(({id}) => leavingIds.push(id));
});

function register(revision: number, startedAtMs?: number): Endpoint {
  directory.upsert(testRecord({startedAtMs}), revision);
  return directory.get('a')!;
}

function announceLeave(endpoint: Endpoint): void {
  new EndpointAnnouncements(clock, silentLog, directory, 'e-1').noteAnswer(
    endpoint,
    {limit: {kind: 'none'}, isNotRun: false, saysLeaving: true},
    clock.nowMs(),
  );
}

describe.each([undefined, STARTED_AT_MS])(
  'an endpoint that announces its leave in an answer (start %s)',
  (startedAtMs) => {
    it('is no candidate from then on, and gets no work after the drain time', async () => {
      const endpoint = register(1, startedAtMs);
      announceLeave(endpoint);
      expect(endpoint.isCandidate).toBe(false);
      expect(leavingIds).toEqual(['a']);
      await clock.advance(DRAIN_MS);
      expect(endpoint.mayGetWork(clock.nowMs(), DRAIN_MS)).toBe(false);
    });

    it('notifies listeners once, even if the store shows the leave later', () => {
      const endpoint = register(1, startedAtMs);
      announceLeave(endpoint);
      announceLeave(endpoint);
      const draining = {startedAtMs, state: EndpointState.DRAINING};
      directory.upsert(testRecord(draining), 2);
      expect(leavingIds).toEqual(['a']);
    });

    // Guards against a registration that was sent before the leave and is stored late.
    it('keeps leaving when its registration becomes ready again', () => {
      const endpoint = register(1, startedAtMs);
      announceLeave(endpoint);
      register(2, startedAtMs);
      expect(endpoint.isCandidate).toBe(false);
    });

    // Guards against forgetting the announcement when the registration disappears.
    it('keeps leaving when its registration reappears', async () => {
      announceLeave(register(1, startedAtMs));
      directory.remove('a');
      await clock.advance(5_000);
      expect(directory.get('a')).toBeUndefined();
      expect(register(2, startedAtMs).isCandidate).toBe(false);
    });
  },
);

describe('the next incarnation of an endpoint that announced its leave', () => {
  it('is a candidate', () => {
    announceLeave(register(1, STARTED_AT_MS));
    expect(register(2, STARTED_AT_MS + 1).isCandidate).toBe(true);
  });

  it('is a candidate under another id at the same address', () => {
    announceLeave(register(1));
    directory.upsert(testRecord({id: 'b'}), 2);
    expect(directory.get('b')!.isCandidate).toBe(true);
  });
});
