import {mostAtRisk} from '@lilacledge/policy';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {EngineTraits} from '../model/index.js';
import {engineTimesAt} from '../requests/relayContext.js';
import type {RelayContext} from '../requests/relayContext.js';
import type {ActiveRun} from '../requests/runRegistry.js';
import {MoveReason} from './moveReason.js';
import {LEAVE_RULES, moveRun} from './runMover.js';
import type {CopyDestinations, MoveResult, MoveRules} from './runMover.js';

/** Time assumed until a leaving engine shuts down when it announces none. */
const DEFAULT_NOTICE_MS = 1_500;

/** Moves this entry's runs from leaving or unsuitable engines to other engines. */
export class Evacuator {
  /** Moves that are not done, by request. */
  private readonly open = new Map<string, Promise<MoveResult>>();

  constructor(
    private readonly context: RelayContext,
    private readonly traitsOf: (service: string) => EngineTraits | undefined,
    /** True while the sidecar of the endpoint's engine is connected and grants its link. */
    private readonly hasSidecar: (endpoint: Endpoint) => boolean,
    private readonly destinations: CopyDestinations,
  ) {}

  /** Moves the run that was granted exclusive use of its leaving engine's network link. */
  async move(requestId: string): Promise<MoveResult> {
    if (!this.context.switches.runMoves) {
      return {kind: 'notMoved', cause: 'moving runs is switched off'};
    }
    // A move for balance that is under way may end without a destination, as its rules are
    // stricter. The run must then still be moved before its engine ends.
    const open = this.open.get(requestId);
    if (open !== undefined) {
      const end = await open;
      if (end.kind === 'moved' || end.wasStopped === true) return end;
    }
    return this.moveOnce(requestId, MoveReason.LEAVE, () => LEAVE_RULES);
  }

  /** Moves a run that was granted the link of its engine, which stays. */
  async moveForBalance(
    requestId: string,
    rulesFor: (run: ActiveRun) => MoveRules,
  ): Promise<MoveResult> {
    return this.moveOnce(requestId, MoveReason.BALANCE, rulesFor);
  }

  /** A run that is being moved is not moved a second time: the engine may begin to leave. */
  private moveOnce(
    requestId: string,
    reason: MoveReason,
    rulesFor: (run: ActiveRun) => MoveRules,
  ): Promise<MoveResult> {
    const open = this.open.get(requestId);
    if (open !== undefined) return open;
    const moving = this.moveNow(requestId, reason, rulesFor).finally(() =>
      this.open.delete(requestId),
    );
    this.open.set(requestId, moving);
    return moving;
  }

  private async moveNow(
    requestId: string,
    reason: MoveReason,
    rulesFor: (run: ActiveRun) => MoveRules,
  ): Promise<MoveResult> {
    const {context} = this;
    const run = context.runs.get(requestId);
    if (run === undefined) return {kind: 'notMoved', cause: 'unknown run'};
    const traits = this.traitsOf(run.endpoint.record.service);
    if (traits === undefined || !traits.canMove) {
      return {
        kind: 'notMoved',
        cause: 'the engine does not support moving runs',
      };
    }
    const rules = rulesFor(run);
    const end = await moveRun(context, run, traits, this.destinations, rules);
    const wasStopped = end.kind === 'moved' || end.wasStopped === true;
    if (reason === MoveReason.BALANCE) run.hasMovedForBalance ||= wasStopped;
    context.metrics.evacuations.inc({reason, end: end.kind});
    if (end.kind === 'notMoved') {
      context.log.warn('move.notDone', {
        request: requestId,
        endpoint: run.endpoint.id,
        reason,
        cause: end.cause,
      });
    }
    return end;
  }

  /** Moves this entry's runs one by one while no sidecar grants the engine's link. */
  async moveRunsWithoutSidecar(endpoint: Endpoint): Promise<void> {
    const {context} = this;
    if (!context.switches.runMoves) return;
    if (context.runs.at(endpoint).length === 0) return;
    // With two schedulers, copies would share the engine's link, and every
    // stopped run would wait for them to finish.
    if (this.hasSidecar(endpoint)) return;
    const endMs =
      endpoint.leavesAtMs ?? context.clock.nowMs() + DEFAULT_NOTICE_MS;
    const traits = this.traitsOf(endpoint.record.service);
    if (traits === undefined) return;
    const tried = new Set<string>();
    while (context.clock.nowMs() < endMs) {
      const left = context.runs
        .at(endpoint)
        .filter(({requestId}) => !tried.has(requestId))
        .map(({outlook}) => outlook);
      const noticeMs = endMs - context.clock.nowMs();
      const tokenMs = engineTimesAt(context, endpoint, traits).outputMs(1);
      const run = mostAtRisk(left, noticeMs, tokenMs);
      if (run === undefined) return;
      tried.add(run.requestId);
      await this.move(run.requestId);
    }
  }
}
