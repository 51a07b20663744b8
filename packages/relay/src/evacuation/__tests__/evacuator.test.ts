import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {EnginePace, PauseRisk} from '@lilacledge/policy';
import {systemClock} from '@lilacledge/shared';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {testRecord} from '../../__tests__/testRecord.js';
import {Endpoint} from '../../endpoints/endpoint.js';
import {ZoneLoads} from '../../endpoints/zoneLoads.js';
import {silentLog} from '../../log/boundedLog.js';
import type {EngineTraits} from '../../model/index.js';
import type {MoveReply} from '../../ports.js';
import {createRelayMetrics} from '../../relayMetrics.js';
import type {RelayContext} from '../../requests/relayContext.js';
import {ActiveRun, RunRegistry} from '../../requests/runRegistry.js';
import {ALL_ON} from '../../switches.js';
import {Evacuator} from '../evacuator.js';
import type {MoveRules} from '../runMover.js';

const HOST = '127.0.0.1';
const TRAITS: EngineTraits = {
  slots: 24,
  memoryTokens: 26_860,
  bytesPerToken: 18_432,
  linkMbps: 2_700,
  canMove: true,
  canBackUp: true,
  tokensPerEvent: 4,
};
const COPIED: MoveReply = {kind: 'copied', handle: 'h-1', eventsMade: 20};

const NO_SUCH_RUN: MoveReply = {kind: 'noSuchRun'};
const BUSY: MoveReply = {kind: 'busy'};
const FAILED: MoveReply = {kind: 'failed', detail: 'no answer'};

/** Called with `copy` or `stop`; the engine answers with the result. */
type MoveHandler = (step: string) => Promise<MoveReply> | MoveReply;

let server: Server;
/** Connections on which nothing arrives any more. */
let silentConnections: Set<Socket>;
let handle: MoveHandler;
let steps: string[];
let source: Endpoint;
let destination: Endpoint;
let run: ActiveRun;
let evacuator: Evacuator;
let metrics: ReturnType<typeof createRelayMetrics>;

beforeEach(async () => {
  steps = [];
  handle = () => COPIED;
  silentConnections = new Set();
  server = createServer((request, response) => {
    if (silentConnections.has(request.socket)) return;
    const step = request.url!.slice(1);
    steps.push(step);
    void Promise.resolve(handle(step)).then((reply) =>
      response.end(JSON.stringify(reply)),
    );
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  source = new Endpoint(testRecord({id: 's', address: {host: HOST, port}}), 0);
  destination = new Endpoint(testRecord({id: 'd'}), 0);
  const runs = new RunRegistry();
  run = new ActiveRun('r', source, 3_080, 748, 4, 0);
  run.eventsRelayed = 20;
  runs.add(run);
  metrics = createRelayMetrics('north');
  const pace = new EnginePace(true);
  const risk = new PauseRisk();
  const context = {
    settings: {zone: 'north', drainMs: 2_000},
    switches: ALL_ON,
    clock: systemClock,
    random: () => 0.5,
    log: silentLog,
    metrics,
    runs,
    endpoints: {ofService: () => [source, destination]},
    sendLimits: {allows: () => true},
    paceOf: () => pace,
    pauseRiskOf: () => risk,
    entryCount: () => 1,
    zoneLoads: new ZoneLoads(),
    codec: {
      moveCall: (_id: string, _to: unknown, stops: boolean) => ({
        method: 'POST',
        path: stops ? '/stop' : '/copy',
      }),
      readMoveReply: (_status: number, body: string) =>
        JSON.parse(body) as MoveReply,
    },
  } as unknown as RelayContext;
  evacuator = new Evacuator(
    context,
    () => TRAITS,
    () => true,
    {reserve: () => Promise.resolve(true), release: () => {}},
  );
});

afterEach(() => {
  server.close();
  server.closeAllConnections();
});

function rules(changes: Partial<MoveRules> = {}): () => MoveRules {
  return () => ({
    fillLimit: 0.9,
    accepts: () => true,
    confirms: () => true,
    ...changes,
  });
}

async function countOf(reason: string, end: string): Promise<number> {
  const {values} = await metrics.evacuations.get();
  const found = values.find(
    ({labels}) => labels['reason'] === reason && labels['end'] === end,
  );
  return found?.value ?? 0;
}

// Guards against half a stream that looks complete: a second order found no run, as the first
// one had stopped it without an answer.
describe('orders to stop a run', () => {
  it.each([
    ['one that was answered', [COPIED], true],
    ['one that found no run', [NO_SUCH_RUN], false],
    ['one that was refused', [BUSY], false],
    ['one that failed', [FAILED], true],
    ['one that failed and one that found no run', [FAILED, NO_SUCH_RUN], true],
  ] as const)('may have stopped it (%s)', async (_name, replies, isStopped) => {
    const left = [...replies];
    handle = (step) => (step === 'stop' ? left.shift()! : COPIED);
    while (left.length > 0) await evacuator.moveForBalance('r', rules());
    expect(await run.mayBeStopped()).toBe(isStopped);
    run.assignTo(destination);
    expect(await run.mayBeStopped()).toBe(false);
  });
});

// Guards against a run that is lost with its engine, because the order to move it went out on a
// connection that had been kept from an earlier move and had fallen silent.
it('moves a run although the connections of an earlier move have fallen silent', async () => {
  const opened: Socket[] = [];
  server.on('connection', (socket) => opened.push(socket));
  await evacuator.moveForBalance('r', rules());
  silentConnections = new Set(opened);
  const end = await evacuator.move('r');
  expect(end).toEqual({kind: 'moved', destination: 'd'});
});

describe('a move for balance', () => {
  it('copies the run, stops it and hands it over', async () => {
    const end = await evacuator.moveForBalance('r', rules());
    expect(end).toEqual({kind: 'moved', destination: 'd'});
    expect(steps).toEqual(['copy', 'stop']);
    expect((await run.handover)?.destinations).toEqual([destination, source]);
    expect(run.hasMovedForBalance).toBe(true);
    expect(await countOf('balance', 'moved')).toBe(1);
  });

  it('is not begun without a destination that the run gains by', async () => {
    const end = await evacuator.moveForBalance(
      'r',
      rules({accepts: () => false}),
    );
    expect(end.kind).toBe('notMoved');
    expect(steps).toEqual([]);
  });

  it('ends after the copy if the run no longer gains', async () => {
    const end = await evacuator.moveForBalance(
      'r',
      rules({confirms: () => false}),
    );
    expect(end.kind).toBe('notMoved');
    expect(steps).toEqual(['copy']);
    expect(run.hasMovedForBalance).toBe(false);
  });

  it('counts as one move of the run if the stop failed', async () => {
    handle = (step) => (step === 'copy' ? COPIED : {kind: 'noRoom'});
    const end = await evacuator.moveForBalance('r', rules());
    expect(end.kind).toBe('notMoved');
    expect(run.hasMovedForBalance).toBe(true);
    expect(await countOf('balance', 'notMoved')).toBe(1);
  });

  describe('when an engine crashes', () => {
    it('ends if it is the engine of the run', async () => {
      handle = () => {
        server.closeAllConnections();
        return COPIED;
      };
      const end = await evacuator.moveForBalance('r', rules());
      expect(end).toMatchObject({cause: 'copy: failed'});
      expect(run.handover).toBeUndefined();
      expect(run.hasMovedForBalance).toBe(false);
    });

    it('ends if it is the destination, and the run stays', async () => {
      handle = () => {
        destination.hasEnded = true;
        return COPIED;
      };
      const end = await evacuator.moveForBalance('r', rules());
      expect(end).toMatchObject({kind: 'notMoved'});
      expect(steps).toEqual(['copy']);
      expect(run.handover).toBeUndefined();
    });

    it('leaves a copy to continue from if the engine stopped the run', async () => {
      handle = (step) => {
        if (step === 'stop') source.hasEnded = true;
        return COPIED;
      };
      await evacuator.moveForBalance('r', rules());
      expect((await run.handover)?.destinations[0]).toBe(destination);
    });
  });

  describe('when its engine begins to leave', () => {
    // Two moves of a run at a time would stop it twice and leave two handovers.
    it('is the only move of the run', async () => {
      let drained: Promise<unknown> | undefined;
      handle = (step) => {
        if (step === 'copy') drained ??= evacuator.move('r');
        return COPIED;
      };
      const end = await evacuator.moveForBalance('r', rules());
      expect(await drained).toBe(end);
      expect(steps).toEqual(['copy', 'stop']);
    });

    it('goes on after the copy, also if the run no longer gains', async () => {
      handle = () => {
        source.noteLeaveReceived(0);
        return COPIED;
      };
      const end = await evacuator.moveForBalance(
        'r',
        rules({confirms: () => false}),
      );
      expect(end.kind).toBe('moved');
    });
  });
});
