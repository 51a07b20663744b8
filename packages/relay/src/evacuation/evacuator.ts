import {mostAtRisk} from '@lilacledge/policy';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {EngineTraits} from '../model/index.js';
import type {RelayContext} from '../requests/relayContext.js';
import {moveRun} from './runMover.js';
import type {CopyDestinations, MoveEnd} from './runMover.js';

/** Notice that an engine gives when it does not say. */
const USUAL_NOTICE_MS = 1_500;

/** Moves the runs of this entry away from engines that are leaving. */
export class Evacuator {
  constructor(
    private readonly context: RelayContext,
    private readonly traitsOf: (service: string) => EngineTraits | undefined,
    /** True while the engine's own sidecar hands out grants. */
    private readonly hasSidecar: (endpoint: Endpoint) => boolean,
    private readonly destinations: CopyDestinations,
  ) {}

  /** Carries a grant out; the engine's link is free for this run alone. */
  async move(requestId: string): Promise<MoveEnd> {
    const {context} = this;
    if (!context.switches.runMoves) {
      return {kind: 'notMoved', cause: 'runs are not moved here'};
    }
    const run = context.runs.get(requestId);
    if (run === undefined) return {kind: 'notMoved', cause: 'no such run'};
    const traits = this.traitsOf(run.endpoint.record.service);
    if (traits === undefined || !traits.canMove) {
      return {kind: 'notMoved', cause: 'the engine moves no runs'};
    }
    const end = await moveRun(context, run, traits, this.destinations);
    context.metrics.evacuations.inc({end: end.kind});
    if (end.kind === 'notMoved') {
      context.log.warn('move.notDone', {
        request: requestId,
        endpoint: run.endpoint.id,
        cause: end.cause,
      });
    }
    return end;
  }

  /** Without a sidecar's plan this entry moves its own runs, one by one. */
  async planAlone(endpoint: Endpoint): Promise<void> {
    const {context} = this;
    if (!context.switches.runMoves) return;
    if (context.runs.at(endpoint).length === 0) return;
    // Two planners would fill the engine's link with copies side by side, and
    // every stopped run would wait behind them.
    if (this.hasSidecar(endpoint)) return;
    const endMs =
      endpoint.leavesAtMs ?? context.clock.nowMs() + USUAL_NOTICE_MS;
    const tried = new Set<string>();
    while (context.clock.nowMs() < endMs) {
      const left = context.runs
        .at(endpoint)
        .filter(({requestId}) => !tried.has(requestId))
        .map(({outlook}) => outlook);
      const noticeMs = endMs - context.clock.nowMs();
      const tokenMs = context.paceOf(endpoint.record.service).outputMs(1);
      const run = mostAtRisk(left, noticeMs, tokenMs);
      if (run === undefined) return;
      tried.add(run.requestId);
      await this.move(run.requestId);
    }
  }
}
