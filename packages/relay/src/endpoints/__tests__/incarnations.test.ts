import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {testRecord} from '../../__tests__/testRecord.js';
import {silentLog} from '../../log/boundedLog.js';
import {EndpointState} from '../../model/index.js';
import type {EndpointRecord} from '../../model/index.js';
import {LeaveSource} from '../endpoint.js';
import type {Endpoint} from '../endpoint.js';
import {EndpointDirectory} from '../endpointDirectory.js';

/*
 * Guards against state of a former incarnation being applied to an endpoint that restarts
 * under the same id: such an endpoint got no work for as long as it was registered.
 */

const STARTED_AT_MS = 1_764_000_000_000;
const DRAIN_MS = 2_000;

/** Longer than a removed endpoint is kept. */
const FORGOTTEN_AFTER_MS = 10_000;

let clock: VirtualClock;
let directory: EndpointDirectory;
let revision: number;

beforeEach(async () => {
  clock = new VirtualClock();
  directory = new EndpointDirectory(clock, silentLog);
  revision = 0;
  await clock.advance(FORGOTTEN_AFTER_MS);
});

function register(
  changes: Partial<EndpointRecord> = {},
  atRevision = ++revision,
): Endpoint {
  const record = testRecord({
    startedAtMs: STARTED_AT_MS,
    service: 'drafts',
    ...changes,
  });
  directory.upsert(record, atRevision);
  return directory.get(record.id)!;
}

function restart(changes: Partial<EndpointRecord> = {}): Endpoint {
  return register({startedAtMs: STARTED_AT_MS + 5_000, ...changes});
}

function mayGetWork(endpoint: Endpoint): boolean {
  return endpoint.mayGetWork(clock.nowMs(), DRAIN_MS);
}

describe('an endpoint that restarts under its id', () => {
  it.each([
    ['registered as draining', () => register({state: EndpointState.DRAINING})],
    ['was removed', () => directory.remove('a')],
    [
      'reported to its sidecar that it is leaving',
      () => {
        directory.noteLeaving(directory.get('a')!, LeaveSource.REPORT, 900);
      },
    ],
    [
      'failed',
      () => directory.get('a')!.health.noteNoResponse(clock.nowMs(), true, 1),
    ],
  ])('is a candidate after its former incarnation %s', async (_name, end) => {
    register();
    end();
    const restarted = restart();
    expect(restarted.isCandidate).toBe(true);
    expect(restarted.leavesAtMs).toBeUndefined();
    expect(restarted.health.isDoubted(clock.nowMs())).toBe(false);
    // No timer of the former incarnation removes the new one.
    await clock.advance(FORGOTTEN_AFTER_MS);
    expect(directory.get('a')).toBe(restarted);
    expect(mayGetWork(restarted)).toBe(true);
  });

  it('inherits no state from its former incarnation', () => {
    const former = register();
    former.incomingTokens = 9_000;
    former.outstanding = 3;
    former.load = {value: {running: 6, waiting: 9, slots: 6}, atMs: 0};
    const restarted = restart();
    expect(restarted.incomingTokens).toBe(0);
    expect(restarted.outstanding).toBe(0);
    expect(restarted.load).toBeUndefined();
    expect(restarted.report).toBeUndefined();
  });

  it('ends the former incarnation, so that no run resumes from its memory', () => {
    const former = register();
    restart();
    expect(former.hasEnded).toBe(true);
    expect(mayGetWork(former)).toBe(false);
  });

  it('is not doubted for failed sends to its former incarnation', () => {
    const reported: string[] = [];
    directory.onDoubtToReport(({id}) => reported.push(id));
    const former = register();
    const restarted = restart();
    former.health.noteNoResponse(clock.nowMs(), true, 1);
    expect(reported).toEqual([]);
    expect(restarted.health.isDoubted(clock.nowMs())).toBe(false);
  });

  it('may have moved to another address and zone', () => {
    register();
    const address = {host: '10.0.0.2', port: 81};
    restart({address, zone: 'south'});
    expect([...directory.ofService('drafts')]).toHaveLength(1);
    expect(directory.atAddress('10.0.0.1:80')).toBeUndefined();
    expect(directory.atAddress('10.0.0.2:81')?.record.zone).toBe('south');
  });

  it('wakes requests that wait for an endpoint', () => {
    register({state: EndpointState.DRAINING});
    let seen = 0;
    directory.onceAvailable('drafts', () => seen++);
    restart();
    expect(seen).toBe(1);
  });

  describe('while messages about its former incarnation still arrive', () => {
    it('is not replaced by an older registration', () => {
      register();
      const restarted = restart();
      register();
      expect(directory.get('a')).toBe(restarted);
      expect(restarted.isCandidate).toBe(true);
    });

    it('does not leave because of an older registration as draining', () => {
      register();
      const restarted = restart();
      register({state: EndpointState.DRAINING});
      expect(restarted.isCandidate).toBe(true);
    });

    it('is not replaced by an older registration after its own removal', async () => {
      register();
      restart();
      directory.remove('a');
      await clock.advance(FORGOTTEN_AFTER_MS);
      register();
      expect(directory.get('a')).toBeUndefined();
    });

    it('ignores reports of an earlier start, and ends with a report of a later one', () => {
      const known = register();
      expect(directory.noteReportedStart(known, STARTED_AT_MS - 1)).toBe(false);
      expect(directory.noteReportedStart(known, STARTED_AT_MS)).toBe(true);
      expect(directory.get('a')).toBe(known);
      expect(directory.noteReportedStart(known, STARTED_AT_MS + 1)).toBe(false);
      expect(directory.get('a')).toBeUndefined();
    });
  });
});

/*
 * Guards against late writes: the store may carry out an unanswered write seconds later, so
 * that a registration from before the leave overwrites the one that announced it.
 */
describe('an endpoint that registered as draining', () => {
  it.each([STARTED_AT_MS, undefined])(
    'gets no work after a ready registration of the same incarnation (start %s)',
    (startedAtMs) => {
      const known = register({startedAtMs});
      register({startedAtMs, state: EndpointState.DRAINING});
      register({startedAtMs});
      expect(known.isCandidate).toBe(false);
      expect(directory.get('a')).toBe(known);
    },
  );

  it('gets no work after its removal, neither while it is kept nor later', async () => {
    register();
    register({state: EndpointState.DRAINING});
    directory.remove('a');
    register();
    expect(directory.get('a')!.isCandidate).toBe(false);
    await clock.advance(FORGOTTEN_AFTER_MS);
    expect(directory.get('a')).toBeUndefined();
    register();
    expect(directory.get('a')).toBeUndefined();
  });

  it('counts as another incarnation after its removal if start times are unknown', () => {
    const startedAtMs = undefined;
    const known = register({startedAtMs});
    register({startedAtMs, state: EndpointState.DRAINING});
    directory.remove('a');
    const restarted = register({startedAtMs});
    expect(restarted).not.toBe(known);
    expect(restarted.isCandidate).toBe(true);
  });
});

describe('an endpoint whose registration expired and was renewed', () => {
  it('is a candidate again', async () => {
    const known = register();
    directory.remove('a');
    expect(known.isCandidate).toBe(false);
    register();
    expect(known.isCandidate).toBe(true);
    await clock.advance(FORGOTTEN_AFTER_MS);
    expect(directory.get('a')).toBe(known);
  });

  it('is not removed by the timer of an earlier removal', async () => {
    const known = register();
    directory.remove('a');
    await clock.advance(1_000);
    register();
    directory.remove('a');
    await clock.advance(700);
    expect(directory.get('a')).toBe(known);
    expect(mayGetWork(known)).toBe(true);
  });

  it('keeps leaving if it announced that only to its sidecar', () => {
    const known = register();
    directory.noteLeaving(known, LeaveSource.REPORT, 900);
    register();
    expect(known.isCandidate).toBe(false);
  });
});

describe('two endpoints with one address', () => {
  it('are resolved in favour of the later start, not the later registration', () => {
    register({id: 'late', startedAtMs: STARTED_AT_MS + 1});
    register({id: 'early', startedAtMs: STARTED_AT_MS});
    const ids = [...directory.all()].map(({id}) => id);
    expect(ids).toEqual(['late']);
  });
});
