import {canContinue} from '@lilacledge/policy';
import {chooseEngine} from '../endpoints/chooseEngine.js';
import type {Endpoint} from '../endpoints/endpoint.js';
import {callHttp} from '../http/callHttp.js';
import type {EngineTraits} from '../model/index.js';
import type {MoveReply} from '../ports.js';
import {engineUseContext} from '../requests/relayContext.js';
import type {RelayContext} from '../requests/relayContext.js';
import type {ActiveRun, Handover} from '../requests/runRegistry.js';

/** Result of moving one run. */
export type MoveResult =
  | {readonly kind: 'moved'; readonly destination: string}
  | {
      readonly kind: 'notMoved';
      readonly cause: string;
      /** True if the run was stopped for the move, which its caller sees as a pause. */
      readonly wasStopped?: boolean;
    };

/** What a move requires of its destination, besides memory and a copy in time. */
export interface MoveRules {
  /** Share of the destination's memory that may be in use with the moved run. */
  readonly fillLimit: number;
  /** True if room must be left for runs that are still at leaving engines. */
  readonly keepsRoomForLeaving?: boolean;
  /** Whether the move there is useful, before the copy. */
  accepts(destination: Endpoint): boolean;
  /** Whether the move there is still useful once the copy is complete. */
  confirms(destination: Endpoint): boolean;
}

/** A copy between availability zones takes this many times as long as within one. */
const CROSS_ZONE_COPY_FACTOR = 2;

/** Covers the copy of the largest run of a full engine to another zone. */
const COPY_TIMEOUT_MS = 2_500;

/** Timeout for copying the remainder after the run was stopped. */
const STOP_TIMEOUT_MS = 1_000;

/** For runs whose engine leaves, which otherwise are lost with it. */
export const LEAVE_RULES: MoveRules = {
  fillLimit: 0.97,
  accepts: () => true,
  confirms: () => true,
};

/** Longest time for the copy of the remainder and the reply, while the run is stopped. */
export const STOP_MARGIN_MS = 25;

/** Added to the score of engines in another zone, where a copy takes twice as long. */
const OTHER_ZONE_PENALTY_MS = 200;

/** Most destinations to try for one run. */
const MAX_DESTINATIONS = 4;

/** A run is not stopped if its caller's position can't be told to another engine. */
const EVENTS_WITHOUT_ID: MoveResult = {
  kind: 'notMoved',
  cause: 'its events have no readable ids',
};

/** Reserves engines as copy destinations, so that each receives one run at a time. */
export interface CopyDestinations {
  /** Resolves with false if the engine is receiving another copy or is full. */
  reserve(
    endpoint: Endpoint,
    requestId: string,
    tokens: number,
  ): Promise<boolean>;
  release(endpoint: Endpoint, requestId: string): void;
}

/** Moves one run from its engine to another engine with room. */
export async function moveRun(
  context: RelayContext,
  run: ActiveRun,
  traits: EngineTraits,
  destinations: CopyDestinations,
  rules: MoveRules = LEAVE_RULES,
): Promise<MoveResult> {
  if (!canContinue(run.position)) return EVENTS_WITHOUT_ID;
  const excluded = new Set([run.endpoint.id]);
  for (let asked = 0; asked < MAX_DESTINATIONS; asked++) {
    const destination = chooseDestination(
      context,
      run,
      traits,
      excluded,
      rules,
    );
    if (destination === undefined) break;
    const {requestId, memoryTokens} = run;
    destination.incomingTokens += memoryTokens;
    try {
      if (await destinations.reserve(destination, requestId, memoryTokens)) {
        return await copyAndHandOver(context, run, destination, rules);
      }
    } finally {
      destination.incomingTokens -= memoryTokens;
      destinations.release(destination, requestId);
    }
    excluded.add(destination.id);
  }
  const cause =
    excluded.size > 1
      ? 'all candidate engines were full or receiving another copy'
      : 'no engine has room and can receive the copy in time';
  return {kind: 'notMoved', cause};
}

async function copyAndHandOver(
  context: RelayContext,
  run: ActiveRun,
  destination: Endpoint,
  rules: MoveRules,
): Promise<MoveResult> {
  const source = run.endpoint;
  const startMs = context.clock.nowMs();
  const copied = await requestMove(context, run, destination, false);
  context.log.info('move.copied', {
    request: run.requestId,
    from: source.id,
    to: destination.id,
    outcome: copied.kind,
    tokens: run.memoryTokens,
    copyMs: Math.round(context.clock.nowMs() - startMs),
    sameZone: source.record.zone === destination.record.zone,
  });
  if (copied.kind !== 'copied') {
    return {kind: 'notMoved', cause: `copy: ${copied.kind}`};
  }
  const isActive = context.runs.get(run.requestId) === run;
  if (!isActive || run.endpoint !== source) {
    return {kind: 'notMoved', cause: 'run ended'};
  }
  if (destination.hasEnded) {
    // The copy was lost with the incarnation that received it.
    return {kind: 'notMoved', cause: 'the destination restarted'};
  }
  if (!canContinue(run.position)) return EVENTS_WITHOUT_ID;
  // If the engine has begun to leave meanwhile, the run has to move anyway.
  if (!source.isLeaving && !rules.confirms(destination)) {
    return {kind: 'notMoved', cause: 'the run no longer gains by a move'};
  }
  return stopAndHandOver(context, run, destination);
}

/** Estimated time to copy a run between two endpoints. */
export function copyTimeMs(
  traits: EngineTraits,
  tokens: number,
  isSameZone: boolean,
): number {
  if (traits.linkMbps <= 0) return 0;
  const bits = tokens * traits.bytesPerToken * 8;
  const factor = isSameZone ? 1 : CROSS_ZONE_COPY_FACTOR;
  return (bits / (traits.linkMbps * 1_000)) * factor;
}

async function stopAndHandOver(
  context: RelayContext,
  run: ActiveRun,
  destination: Endpoint,
): Promise<MoveResult> {
  const source = run.endpoint;
  const startMs = context.clock.nowMs();
  const ordered = requestMove(context, run, destination, true);
  run.handover = ordered.then((reply) =>
    toHandover(reply, source, destination),
  );
  run.noteStopOrder(ordered.then(mayHaveStopped));
  const reply = await ordered;
  context.log.info('move.stopped', {
    request: run.requestId,
    from: source.id,
    to: destination.id,
    outcome: reply.kind,
    events: reply.kind === 'copied' ? reply.eventsMade : undefined,
    tookMs: Math.round(context.clock.nowMs() - startMs),
  });
  if (reply.kind === 'copied') {
    return {kind: 'moved', destination: destination.id};
  }
  return {kind: 'notMoved', cause: `stop: ${reply.kind}`, wasStopped: true};
}

/** Whether a run may have been stopped by the order that got this reply. */
function mayHaveStopped(reply: MoveReply): boolean {
  switch (reply.kind) {
    case 'copied':
    case 'failed':
      return true;
    case 'noRoom':
      return reply.handle !== undefined;
    case 'noSuchRun':
    case 'busy':
      return false;
  }
}

function toHandover(
  reply: MoveReply,
  source: Endpoint,
  destination: Endpoint,
): Handover | undefined {
  const {address} = source.record;
  switch (reply.kind) {
    case 'copied': {
      const destinations = [destination, source];
      return {destinations, source: {address, handle: reply.handle}};
    }
    case 'noRoom':
      // The source keeps a stopped run and can resume it until it shuts down.
      if (reply.handle === undefined) return undefined;
      return {
        destinations: [source],
        source: {address, handle: reply.handle},
      };
    case 'noSuchRun':
    case 'busy':
    case 'failed':
      return undefined;
  }
}

async function requestMove(
  context: RelayContext,
  run: ActiveRun,
  destination: Endpoint,
  stopsRun: boolean,
): Promise<MoveReply> {
  const {address} = destination.record;
  const call = context.codec.moveCall(run.requestId, address, stopsRun);
  const reply = await callHttp({
    address: run.endpoint.record.address,
    timeoutMs: stopsRun ? STOP_TIMEOUT_MS : COPY_TIMEOUT_MS,
    ...call,
  });
  if (reply.kind === 'unanswered') {
    return {kind: 'failed', detail: reply.detail};
  }
  return context.codec.readMoveReply(reply.status, reply.body);
}

/** The best engine that a run can be moved to now; undefined if there is none. */
export function chooseDestination(
  context: RelayContext,
  run: ActiveRun,
  traits: EngineTraits,
  excluded: ReadonlySet<string>,
  rules: MoveRules,
): Endpoint | undefined {
  const {service, zone} = run.endpoint.record;
  const choice = chooseEngine(
    context.endpoints.ofService(service),
    traits,
    run.memoryTokens,
    excluded,
    {
      ...engineUseContext(context),
      zone,
      otherZoneMs: OTHER_ZONE_PENALTY_MS,
      pace: context.paceOf(service),
      events: {
        risk: context.pauseRiskOf(service),
        pauseGoalMs: run.pauseGoalMs,
        events: run.expectedEventsLeft,
      },
      fillLimit: rules.fillLimit,
      keepsRoomForLeaving: rules.keepsRoomForLeaving,
      accepts: (endpoint) =>
        run.isAllowedAt(endpoint) &&
        context.sendLimits.allows(endpoint) &&
        canCopyInTime(context, run, traits, endpoint) &&
        rules.accepts(endpoint),
    },
  );
  return choice?.endpoint;
}

/** True if the copy would complete before the source shuts down. */
function canCopyInTime(
  context: RelayContext,
  run: ActiveRun,
  traits: EngineTraits,
  destination: Endpoint,
): boolean {
  const {leavesAtMs, record} = run.endpoint;
  if (leavesAtMs === undefined) return true;
  const leftMs = leavesAtMs - context.clock.nowMs();
  const isSameZone = record.zone === destination.record.zone;
  const neededMs = copyTimeMs(traits, run.memoryTokens, isSameZone);
  return neededMs + STOP_MARGIN_MS <= leftMs;
}
