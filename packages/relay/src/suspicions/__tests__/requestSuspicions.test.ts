import {createServer as createHttpServer} from 'node:http';
import type {Server as HttpServer} from 'node:http';
import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {Exposure, FIRST_QUARANTINE_MS} from '@lilacledge/policy';
import {VirtualClock} from '@lilacledge/shared';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {testRecord} from '../../__tests__/testRecord.js';
import {silentLog} from '../../log/boundedLog.js';
import {RequestSuspicions, SuspicionSource} from '../requestSuspicions.js';

const HOST = '127.0.0.1';

type EndedEndpoint = Parameters<RequestSuspicions['noteBroken']>[1];

const REQUEST = {id: 'a-1', fingerprint: 'f-1'};
const SEND = {exposure: Exposure.RUNNING, sentMs: 0};

const FLEET = {self: 'entry-1', members: () => ['entry-1', 'entry-2']};

let clock: VirtualClock;
let suspicions: RequestSuspicions;
let told: string[];
let answering: HttpServer;
let dropping: Server;
let silent: Server;

beforeEach(async () => {
  clock = new VirtualClock();
  suspicions = new RequestSuspicions(clock, silentLog, FLEET);
  told = [];
  suspicions.onChange((_suspicion, source) => told.push(source));
  answering = createHttpServer((_request, response) => {
    response.writeHead(400).end();
  });
  dropping = createServer((socket) => socket.destroy());
  silent = createServer(() => {});
  for (const server of [answering, dropping, silent]) {
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  }
});

afterEach(() => {
  answering.close();
  dropping.close();
  silent.close();
});

/** A port that nothing listens at. */
async function closedPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return port;
}

function portOf(server: Server | HttpServer): number {
  return (server.address() as AddressInfo).port;
}

function endpointAt(
  port: number,
  changes: Partial<EndedEndpoint> = {},
): EndedEndpoint {
  const {id = 'e-1'} = changes;
  const record = testRecord({id, address: {host: HOST, port}});
  return {
    id,
    record,
    isLeaving: false,
    hasSaidLeave: false,
    removedAtMs: undefined,
    ...changes,
  };
}

describe('an entry whose send breaks', () => {
  it('suspects the request when the endpoint is gone', async () => {
    await suspicions.noteBroken(REQUEST, endpointAt(await closedPort()), SEND);
    expect(suspicions.isSuspected(REQUEST)).toBe(true);
    expect(told).toEqual([SuspicionSource.OWN]);
  });

  it('suspects it also when something else holds the address', async () => {
    await suspicions.noteBroken(REQUEST, endpointAt(portOf(dropping)), SEND);
    expect(suspicions.isSuspected(REQUEST)).toBe(true);
  });

  it.each([
    ['is there', () => answering],
    ['is silent', () => silent],
  ])('suspects nothing at an endpoint that %s', async (_name, serverOf) => {
    await suspicions.noteBroken(REQUEST, endpointAt(portOf(serverOf())), SEND);
    expect(suspicions.size).toBe(0);
    expect(told).toEqual([]);
  });

  it.each([
    ['said so', {hasSaidLeave: true, removedAtMs: 2_000}],
    ['is long gone from the store', {removedAtMs: 500}],
    ['told its entries', {}],
  ])('suspects nothing at one that leaves and %s', async (_name, changes) => {
    await clock.advance(2_000);
    const leaving = {isLeaving: true, ...changes};
    const endpoint = endpointAt(await closedPort(), leaving);
    await suspicions.noteBroken(REQUEST, endpoint, SEND);
    expect(suspicions.size).toBe(0);
  });

  it('suspects it where the end has just taken the endpoint from the store', async () => {
    await clock.advance(2_000);
    const leaving = {isLeaving: true, removedAtMs: 1_999};
    const endpoint = endpointAt(await closedPort(), leaving);
    await suspicions.noteBroken(REQUEST, endpoint, SEND);
    expect(suspicions.isSuspected(REQUEST)).toBe(true);
  });

  it('gives a request up after the second end, for a time', async () => {
    for (const id of ['e-1', 'e-2']) {
      await clock.advance(1_000);
      const sentMs = clock.nowMs();
      const endpoint = endpointAt(await closedPort(), {id});
      await suspicions.noteBroken(REQUEST, endpoint, {...SEND, sentMs});
    }
    expect(suspicions.quarantineMs(REQUEST)).toBe(FIRST_QUARANTINE_MS);
    expect(suspicions.quarantineMs({id: 'b', fingerprint: 'f-2'})).toBe(
      undefined,
    );
  });

  it('clears a request that is answered, and says so', async () => {
    await suspicions.noteBroken(REQUEST, endpointAt(await closedPort()), SEND);
    suspicions.noteServed(REQUEST);
    expect(suspicions.isSuspected(REQUEST)).toBe(false);
    expect(told).toHaveLength(2);
  });

  it('passes on what is new, and only that', async () => {
    await suspicions.noteBroken(REQUEST, endpointAt(await closedPort()), SEND);
    const other = new RequestSuspicions(clock, silentLog, FLEET);
    const passedOn: string[] = [];
    other.onChange((_suspicion, source) => passedOn.push(source));
    const [known] = suspicions.all;
    other.noteTold(known!, SuspicionSource.PEER);
    other.noteTold(known!, SuspicionSource.STORE);
    expect(passedOn).toEqual([SuspicionSource.PEER]);
    expect(other.isSuspected(REQUEST)).toBe(true);
  });

  describe('once the quarantine is over', () => {
    const FLEETS = ['entry-1', 'entry-2', 'entry-3'];
    let fleet: RequestSuspicions[];

    beforeEach(async () => {
      fleet = FLEETS.map((self) => {
        const known = {self, members: () => FLEETS};
        return new RequestSuspicions(clock, silentLog, known);
      });
      for (const agoMs of [3_000, 1_000]) {
        const life = `life-${agoMs}`;
        const end = {...SEND, life, agoMs, sentAgoMs: agoMs + 400};
        const {fingerprint} = REQUEST;
        const suspicion = {fingerprint, ends: [end], cleared: []};
        for (const one of fleet) {
          one.noteTold(suspicion, SuspicionSource.PEER);
        }
      }
      await clock.advance(FIRST_QUARANTINE_MS);
    });

    function allowed(id: string): RequestSuspicions[] {
      const attempt = {...REQUEST, id};
      return fleet.filter((one) => one.quarantineMs(attempt) === undefined);
    }

    it('is tried by one entry, and by one attempt at a time', () => {
      const [trier, ...others] = allowed('a-1');
      expect(others).toEqual([]);
      expect(allowed('a-2')).toEqual([]);
      expect(allowed('a-1')).toEqual([trier]);
      expect(trier!.isSuspected(REQUEST)).toBe(true);
    });

    it('is tried again by another attempt where the first came to nothing', async () => {
      expect(allowed('a-1')).toHaveLength(1);
      await clock.advance(5_000);
      expect(allowed('a-2')).toHaveLength(1);
    });

    it('is free for all once the trial is answered', () => {
      const [trier] = allowed('a-1');
      trier!.onChange((suspicion) => {
        for (const one of fleet) {
          one.noteTold(suspicion, SuspicionSource.PEER);
        }
      });
      trier!.noteServed(REQUEST);
      expect(allowed('a-2')).toHaveLength(3);
    });
  });
});
