import type {ActiveRun, RunRegistry} from '../requests/runRegistry.js';
import type {ChoiceContext} from './chooseEndpoint.js';
import type {Endpoint} from './endpoint.js';
import type {ZoneLoads} from './zoneLoads.js';

/** A report older than this says nothing of an engine's memory now. */
const REPORT_USABLE_MS = 1_500;

/**
 * A run that was sent this shortly before a report may not be in it: sidecars count
 * runs as they are told of them, one hop (1 ms) after the send.
 */
const REPORT_SLACK_MS = 10;

/** How full an engine is, as this process sees it. */
export interface EngineUse {
  readonly usedTokens: number;
  /** Prompt tokens that wait to be read. */
  readonly backlogTokens: number;
  /** Age of the report that this follows from; undefined without one. */
  readonly reportAgeMs?: number;
}

/** What the view of an engine's load looks at. */
export interface EngineUseContext extends ChoiceContext {
  readonly runs: RunRegistry;
  /** Entries that send to the same engines. */
  readonly entryCount: number;
  /** Loads of zones whose sidecars do not report here. */
  readonly zoneLoads: ZoneLoads;
}

/**
 * Use of all engines of a service, by endpoint id. One that does not report is
 * taken to be at least as full as those of its zone are on average, or else as
 * those that report here.
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
  const usual = meanUse(reported);
  for (const endpoint of endpoints) {
    const use = uses.get(endpoint.id)!;
    if (use.reportAgeMs !== undefined) continue;
    const {service, zone} = endpoint.record;
    const ofZone = context.zoneLoads.get(service, zone, context.nowMs);
    uses.set(endpoint.id, atLeast(use, ofZone ?? usual));
  }
  return uses;
}

/** The mean of some uses; undefined of none. */
export function meanUse(uses: readonly EngineUse[]): EngineUse | undefined {
  if (uses.length === 0) return undefined;
  const mean = (amountOf: (use: EngineUse) => number): number =>
    uses.reduce((sum, use) => sum + amountOf(use), 0) / uses.length;
  return {
    usedTokens: mean(({usedTokens}) => usedTokens),
    backlogTokens: mean(({backlogTokens}) => backlogTokens),
  };
}

function atLeast(use: EngineUse, usual: EngineUse | undefined): EngineUse {
  if (usual === undefined) return use;
  return {
    usedTokens: Math.max(use.usedTokens, usual.usedTokens),
    backlogTokens: Math.max(use.backlogTokens, usual.backlogTokens),
  };
}

/** The engine's last report, with what this process sent since. */
export function engineUse(
  endpoint: Endpoint,
  context: EngineUseContext,
): EngineUse {
  const {nowMs, runs, entryCount} = context;
  const own = runs.at(endpoint);
  const {report} = endpoint;
  const ageMs = report === undefined ? Infinity : nowMs - report.atMs;
  if (report === undefined || ageMs > REPORT_USABLE_MS) {
    return {
      usedTokens: sumOf(own, memoryOf) * entryCount,
      backlogTokens: sumOf(own.filter(isUnread), promptOf) * entryCount,
    };
  }
  const {memoryUsedTokens, promptBacklogTokens} = report.value;
  const sinceMs = report.atMs - REPORT_SLACK_MS;
  const unreported = own.filter((run) => run.startedMs > sinceMs);
  return {
    usedTokens:
      memoryUsedTokens + endpoint.promisedTokens + sumOf(unreported, memoryOf),
    backlogTokens:
      promptBacklogTokens + sumOf(unreported.filter(isUnread), promptOf),
    reportAgeMs: ageMs,
  };
}

function isUnread(run: ActiveRun): boolean {
  return run.eventsRelayed === 0;
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
