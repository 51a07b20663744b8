import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {testRecord} from '../../__tests__/testRecord.js';
import {silentLog} from '../../log/boundedLog.js';
import {EndpointState} from '../../model/index.js';
import type {Endpoint} from '../endpoint.js';
import {EndpointDirectory} from '../endpointDirectory.js';
import {EndpointStatements} from '../endpointStatements.js';

const DRAIN_MS = 2_000;
const BORN_MS = 1_700_000_000_000;

let clock: VirtualClock;
let directory: EndpointDirectory;
let heard: string[];

beforeEach(() => {
  clock = new VirtualClock();
  directory = new EndpointDirectory(clock, silentLog);
  heard = [];
  directory.onLeaving(({id}) => heard.push(id));
});

function register(revision: number, startedAtMs?: number): Endpoint {
  directory.upsert(testRecord({startedAtMs}), revision);
  return directory.get('a')!;
}

function sayLeave(endpoint: Endpoint): void {
  new EndpointStatements(clock, silentLog, directory, 'e-1').noteAnswer(
    endpoint,
    {limit: {kind: 'none'}, isNotRun: false, saysLeaving: true},
    clock.nowMs(),
  );
}

describe.each([undefined, BORN_MS])(
  'an endpoint that says in an answer that it leaves (start %s)',
  (startedAtMs) => {
    it('is no candidate from then on, and gets no work before the bound', async () => {
      const endpoint = register(1, startedAtMs);
      sayLeave(endpoint);
      expect(endpoint.isCandidate).toBe(false);
      expect(heard).toEqual(['a']);
      await clock.advance(DRAIN_MS);
      expect(endpoint.mayGetWork(clock.nowMs(), DRAIN_MS)).toBe(false);
    });

    it('is told of once, also when the store tells of it afterwards', () => {
      const endpoint = register(1, startedAtMs);
      sayLeave(endpoint);
      sayLeave(endpoint);
      const draining = {startedAtMs, state: EndpointState.DRAINING};
      directory.upsert(testRecord(draining), 2);
      expect(heard).toEqual(['a']);
    });

    // Guards against a registration from before the leave that the store carries out late.
    it('leaves still when its registration is ready again', () => {
      const endpoint = register(1, startedAtMs);
      sayLeave(endpoint);
      register(2, startedAtMs);
      expect(endpoint.isCandidate).toBe(false);
    });

    // Guards against a life that is forgotten with its registration.
    it('leaves still when its registration is back after it was gone', async () => {
      sayLeave(register(1, startedAtMs));
      directory.remove('a');
      await clock.advance(5_000);
      expect(directory.get('a')).toBeUndefined();
      expect(register(2, startedAtMs).isCandidate).toBe(false);
    });
  },
);

describe('the next life of an endpoint that said that it leaves', () => {
  it('is ready', () => {
    sayLeave(register(1, BORN_MS));
    expect(register(2, BORN_MS + 1).isCandidate).toBe(true);
  });

  it('is ready under another id at the same address', () => {
    sayLeave(register(1));
    directory.upsert(testRecord({id: 'b'}), 2);
    expect(directory.get('b')!.isCandidate).toBe(true);
  });
});
