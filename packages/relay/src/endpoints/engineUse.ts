import {isUrgentAtEngine} from '@lilacledge/policy';
import type {ActiveRun, RunRegistry} from '../requests/runRegistry.js';
import type {ChoiceContext} from './chooseEndpoint.js';
import type {Endpoint} from './endpoint.js';
import type {ZoneLoads} from './zoneLoads.js';

/** Older reports are ignored when estimating an engine's memory use. */
const MAX_REPORT_AGE_MS = 1_500;

/**
 * A report may lack a run that was sent this shortly before it: sidecars count a run
 * when the entry reports it, one hop (1 ms) after the send.
 */
const REPORT_SLACK_MS = 10;

/** Memory use and backlog of an engine, as estimated by this process. */
export interface EngineUse {
  readonly usedTokens: number;
  /** Prompt tokens that wait for prefill. */
  readonly backlogTokens: number;
  /** The part that is processed before a new urgent prompt; undefined if unknown. */
  readonly urgentBacklogTokens?: number;
  /** Age of the report used; undefined if the estimate is not based on a report. */
  readonly reportAgeMs?: number;
}

/** Inputs of an estimate of an engine's load. */
export interface EngineUseContext extends ChoiceContext {
  readonly runs: RunRegistry;
  /** Number of entries that send to the same engines. */
  readonly entryCount: number;
  /** Loads of zones whose sidecars do not report to this entry. */
  readonly zoneLoads: ZoneLoads;
}

/** Prompt tokens that the engine processes before a new generation of that urgency. */
export function tokensAhead(
  {backlogTokens, urgentBacklogTokens}: EngineUse,
  isUrgent = false,
): number {
  return isUrgent ? (urgentBacklogTokens ?? backlogTokens) : backlogTokens;
}

/**
 * Estimates the use of all engines of a service, by endpoint id. An engine without a
 * report is assumed to be at least as full as the mean of its zone or, if that is
 * unknown, the mean of all reporting engines.
 */
export function estimatedUses(
  endpoints: readonly Endpoint[],
  context: EngineUseContext,
): ReadonlyMap<string, EngineUse> {
  const uses = new Map<string, EngineUse>();
  const reported: EngineUse[] = [];
  for (const endpoint of endpoints) {
    const use = engineUse(endpoint, context);
    uses.set(endpoint.id, use);
    if (use.reportAgeMs !== undefined) reported.push(use);
  }
  const meanReported = meanUse(reported);
  for (const endpoint of endpoints) {
    const use = uses.get(endpoint.id)!;
    if (use.reportAgeMs !== undefined) continue;
    const {service, zone} = endpoint.record;
    const ofZone = context.zoneLoads.get(service, zone, context.nowMs);
    uses.set(endpoint.id, atLeast(use, ofZone ?? meanReported));
  }
  return uses;
}

/** Mean of the given uses; undefined for an empty list. */
export function meanUse(uses: readonly EngineUse[]): EngineUse | undefined {
  if (uses.length === 0) return undefined;
  const mean = (amountOf: (use: EngineUse) => number): number =>
    uses.reduce((sum, use) => sum + amountOf(use), 0) / uses.length;
  return {
    usedTokens: mean(({usedTokens}) => usedTokens),
    backlogTokens: mean(({backlogTokens}) => backlogTokens),
    urgentBacklogTokens: uses.some(isOrdered)
      ? mean((use) => tokensAhead(use, true))
      : undefined,
  };
}

/** True if the urgent part of the backlog is known. */
function isOrdered({urgentBacklogTokens}: EngineUse): boolean {
  return urgentBacklogTokens !== undefined;
}

function atLeast(use: EngineUse, usual: EngineUse | undefined): EngineUse {
  if (usual === undefined) return use;
  return {
    usedTokens: Math.max(use.usedTokens, usual.usedTokens),
    backlogTokens: Math.max(use.backlogTokens, usual.backlogTokens),
    urgentBacklogTokens: isOrdered(usual)
      ? Math.max(tokensAhead(use, true), tokensAhead(usual, true))
      : undefined,
  };
}

/**
 * Use according to the engine's last report plus the runs that this process sent since.
 * Without a recent report, assumes that every entry sent as much as this one.
 */
export function engineUse(
  endpoint: Endpoint,
  context: EngineUseContext,
): EngineUse {
  const {nowMs, runs, entryCount} = context;
  const own = runs.at(endpoint);
  const {report} = endpoint;
  const ageMs = report === undefined ? Infinity : nowMs - report.atMs;
  if (report === undefined || ageMs > MAX_REPORT_AGE_MS) {
    return {
      usedTokens: sumOf(own, memoryOf) * entryCount,
      backlogTokens: sumOf(own.filter(isUnread), promptOf) * entryCount,
    };
  }
  const {memoryUsedTokens, promptBacklogTokens, urgentBacklogTokens} =
    report.value;
  const sinceMs = report.atMs - REPORT_SLACK_MS;
  const unreported = own.filter((run) => run.startedMs > sinceMs);
  const unread = unreported.filter(isUnread);
  return {
    usedTokens:
      memoryUsedTokens + endpoint.incomingTokens + sumOf(unreported, memoryOf),
    backlogTokens: promptBacklogTokens + sumOf(unread, promptOf),
    urgentBacklogTokens:
      urgentBacklogTokens === undefined
        ? undefined
        : urgentBacklogTokens + sumOf(unread.filter(isUrgent), promptOf),
    reportAgeMs: ageMs,
  };
}

function isUnread(run: ActiveRun): boolean {
  return run.eventsRelayed === 0;
}

function isUrgent({enginePriority}: ActiveRun): boolean {
  return isUrgentAtEngine(enginePriority);
}

function memoryOf(run: ActiveRun): number {
  return run.memoryTokens;
}

function promptOf(run: ActiveRun): number {
  return run.promptTokens;
}

function sumOf(
  runs: readonly ActiveRun[],
  amountOf: (run: ActiveRun) => number,
): number {
  return runs.reduce((sum, run) => sum + amountOf(run), 0);
}
