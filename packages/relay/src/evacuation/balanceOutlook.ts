import {balanceGain} from '@lilacledge/policy';
import type {RunPlace} from '@lilacledge/policy';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {EngineTraits} from '../model/index.js';
import {engineTimesAt} from '../requests/relayContext.js';
import type {RelayContext} from '../requests/relayContext.js';
import type {ActiveRun} from '../requests/runRegistry.js';
import {chooseDestination, copyTimeMs, STOP_MARGIN_MS} from './runMover.js';
import type {MoveRules} from './runMover.js';

/**
 * Share of the destination's memory that may be in use with the run. The rest is left to new
 * generations and to runs of leaving engines, which have nowhere else to go.
 */
const MAX_FILL_SHARE = 0.9;

/** Share of the retry budget that may be used; the rest is left to what would fail otherwise. */
const MAX_BUDGET_SHARE = 0.5;

/** A run with a lower chance to miss a pause where it is has too little to gain. */
const MIN_MISS_CHANCE = 0.05;

/** Runs for which destinations are searched in one check, those most at risk first. */
const MAX_SEARCHES = 4;

/**
 * A destination with a gap between events over this share of the present one is not
 * considered: it cannot make up for the time of the copy.
 */
const MAX_GAP_SHARE = 0.8;

/** The gap of the hand-over is one gap between two events. */
const HANDOVER_EVENTS = 2;

/** A run that another engine would serve better, and by how much. */
export interface GainingRun {
  readonly run: ActiveRun;
  readonly gain: number;
}

/** Finds the runs of this entry that should be moved for balance, and where they may go. */
export class BalanceOutlook {
  constructor(
    private readonly context: RelayContext,
    private readonly traitsOf: (service: string) => EngineTraits | undefined,
  ) {}

  /** The runs that gain by a move to an engine with room, largest gain first. */
  gainingRuns(isExcluded: (requestId: string) => boolean): GainingRun[] {
    const atRisk: Array<{run: ActiveRun; missChance: number}> = [];
    for (const run of this.context.runs.all()) {
      if (isExcluded(run.requestId)) continue;
      const missChance = this.missChance(run);
      if (missChance >= MIN_MISS_CHANCE) atRisk.push({run, missChance});
    }
    atRisk.sort((a, b) => b.missChance - a.missChance);
    const gaining: GainingRun[] = [];
    for (const {run} of atRisk.slice(0, MAX_SEARCHES)) {
      const gain = this.bestGain(run);
      if (gain > 0) gaining.push({run, gain});
    }
    return gaining.sort((a, b) => b.gain - a.gain);
  }

  /** What a move of this run for balance requires of its destination. */
  rulesFor(run: ActiveRun): MoveRules {
    return {
      fillLimit: MAX_FILL_SHARE,
      keepsRoomForLeaving: true,
      accepts: (destination) =>
        this.isFaster(run, destination) && this.gainAt(run, destination) > 0,
      // The destination may have begun to leave during the copy.
      confirms: (destination) =>
        destination.isCandidate && this.gainAt(run, destination, true) > 0,
    };
  }

  /** Probability that the run misses a pause where it is; 0 if it cannot or need not move. */
  private missChance(run: ActiveRun): number {
    const traits = this.traitsIfMovable(run);
    if (traits === undefined) return 0;
    return this.hereOf(run, traits).missChance(run.expectedEventsLeft);
  }

  private bestGain(run: ActiveRun): number {
    const traits = this.traitsIfMovable(run);
    if (traits === undefined) return 0;
    const excluded = new Set([run.endpoint.id]);
    // The gain itself is computed only for the engine that would be chosen.
    const rules = {
      ...this.rulesFor(run),
      accepts: (destination: Endpoint) => this.isFaster(run, destination),
    };
    const {context} = this;
    const chosen = chooseDestination(context, run, traits, excluded, rules);
    return chosen === undefined ? 0 : this.gainAt(run, chosen);
  }

  /** By how much the move to an engine raises the probability that pauses are kept. */
  private gainAt(
    run: ActiveRun,
    destination: Endpoint,
    isCopied = false,
  ): number {
    const traits = this.traitsIfMovable(run);
    if (traits === undefined || !destination.speed.isKnown) return 0;
    const {outlook, memoryTokens, endpoint} = run;
    const isSameZone = endpoint.record.zone === destination.record.zone;
    const times = engineTimesAt(this.context, destination, traits);
    // An engine that is fast for a moment does not stay so for the rest of the run.
    const eventGapMs = Math.max(times.eventGapMs, times.usualGapMs);
    const there = this.placeWith(run, eventGapMs);
    const risk = this.context.pauseRiskOf(endpoint.record.service);
    return balanceGain({
      outlook,
      tokensPerEvent: traits.tokensPerEvent,
      here: this.hereOf(run, traits),
      there,
      copyMs: isCopied ? 0 : copyTimeMs(traits, memoryTokens, isSameZone),
      handoverMs: STOP_MARGIN_MS,
      handoverMissChance: risk.missChance(
        STOP_MARGIN_MS + eventGapMs,
        run.pauseGoalMs ?? Infinity,
        HANDOVER_EVENTS,
      ),
    });
  }

  /** Whether the destination is known to be clearly faster than the run's engine. */
  private isFaster(run: ActiveRun, destination: Endpoint): boolean {
    const traits = this.traitsOf(run.endpoint.record.service);
    if (traits === undefined || !destination.speed.isKnown) return false;
    const here = engineTimesAt(this.context, run.endpoint, traits);
    const there = engineTimesAt(this.context, destination, traits);
    return there.usualGapMs <= here.usualGapMs * MAX_GAP_SHARE;
  }

  /**
   * Traits of the run's engine; undefined if the run must stay: it is late already or was
   * moved before, its engine leaves or has no known speed, or the retry budget is short.
   */
  private traitsIfMovable(run: ActiveRun): EngineTraits | undefined {
    const {endpoint, pauseGoalMs, isLate, hasMovedForBalance} = run;
    if (pauseGoalMs === undefined || isLate || hasMovedForBalance) {
      return undefined;
    }
    if (!endpoint.speed.isKnown || !endpoint.isCandidate) return undefined;
    const {service} = endpoint.record;
    const traits = this.traitsOf(service);
    if (traits === undefined || !traits.canMove) return undefined;
    return this.hasBudget(service) ? traits : undefined;
  }

  private hasBudget(service: string): boolean {
    const {used, allowed} = this.context.retryBudgets.of(service);
    return used + 1 <= allowed * MAX_BUDGET_SHARE;
  }

  /**
   * The run where it is, at the steady speed of its engine: a slow interval is usually over
   * before a move is. The run's own events must confirm the speed: one that was learned in a
   * slow interval would otherwise stay, as all runs that would correct it are moved.
   */
  private hereOf(run: ActiveRun, traits: EngineTraits): RunPlace {
    const times = engineTimesAt(this.context, run.endpoint, traits);
    const {usualGapMs, eventGapMs} = times;
    // How much slower the engine is now than its steady speed.
    const slowdown = Math.max(1, eventGapMs / usualGapMs);
    const ownGapMs = (run.meanGapMs ?? 0) / slowdown;
    return this.placeWith(run, Math.min(usualGapMs, ownGapMs));
  }

  private placeWith(
    {pauseGoalMs = Infinity, endpoint}: ActiveRun,
    eventGapMs: number,
  ): RunPlace {
    const risk = this.context.pauseRiskOf(endpoint.record.service);
    return {
      eventGapMs,
      missChance: (events) => risk.missChance(eventGapMs, pauseGoalMs, events),
    };
  }
}
