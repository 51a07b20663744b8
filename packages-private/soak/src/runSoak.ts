import {createWriteStream, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {waitForOk} from '@lilacledge/localstack';
import {createRandom, sleep, systemClock} from '@lilacledge/shared';
import {planAnswerFaults} from './answerFaults.js';
import {BULK, NO_BULK, planBulkFaults} from './bulkFaults.js';
import {isCutByStop} from './cutByStop.js';
import {planFailingFaults} from './failingFaults.js';
import {planFaults} from './faultPlan.js';
import type {PlannedFault} from './faultPlan.js';
import {planIdentityFaults} from './identityFaults.js';
import {Ledger} from './ledger.js';
import {PortRange} from './portRange.js';
import {GRACE_S, SoakFleet} from './soakFleet.js';
import {planSheddingFaults} from './sheddingFaults.js';
import type {Attempt} from './soakEvent.js';
import {SoakLoad} from './soakLoad.js';
import {shapeOf} from './soakShape.js';
import type {SoakShape} from './soakShape.js';
import {planZoneFaults} from './zoneFaults.js';

/** What a soak is asked to do. */
export interface SoakOptions {
  readonly seed: number;
  /** Time in which faults are brought. */
  readonly durationMs: number;
  /** Programs, about; a shape says it apart by role. */
  readonly processes: number;
  readonly shape?: SoakShape;
  readonly print: (line: string) => void;
  /** Also brings faults that put in doubt who an endpoint is. */
  readonly hasIdentityFaults?: boolean;
  /** Also evacuates zones. */
  readonly hasZoneFaults?: boolean;
  /** Also has a caller whose request ends each engine that runs it. */
  readonly hasDeadlyRequests?: boolean;
  /** Also has a caller that leaves before its drafts are whole. */
  readonly hasLeavingCaller?: boolean;
  /** Instead of all else, endpoints reject most while entries start anew again and again. */
  readonly hasShedding?: boolean;
  /** Instead of all else, plain endpoints answer half of their calls with errors. */
  readonly hasFailing?: boolean;
  /** Instead of all else, endpoints say things of themselves in their answers. */
  readonly hasStatements?: boolean;
  /**
   * Instead of all else, endpoints leave while a large configuration changes in series
   * on small links to the store.
   */
  readonly hasLargeConfig?: boolean;
  /** Brought instead of those of the seed, to narrow a failure down. */
  readonly faults?: readonly PlannedFault[];
}

/** What became of a soak. */
export interface SoakVerdict {
  readonly seed: number;
  readonly processes: number;
  readonly faults: number;
  readonly attempts: number;
  readonly good: number;
  readonly runs: number;
  /** Engines that ended under the deadly request. */
  readonly deadlyEnds: number;
  /** Sends beyond the first of a request that reached an endpoint. */
  readonly repeats: number;
  /** Callers that left while an engine was at work for them, and could be judged. */
  readonly callersLeft: number;
  /** Requests that reached endpoints which named a rate. */
  readonly limited: number;
  /** Requests that reached endpoints which said in their answers that they leave. */
  readonly atLeaving: number;
  /** Rejections by which endpoints asked for rest. */
  readonly rests: number;
  readonly violations: readonly string[];
  /** Where the programs' logs are, when a promise was broken. */
  readonly logFolder: string | undefined;
}

/** What was seen, kept with the programs' logs when a promise was broken. */
const EVENTS_FILE = 'events.jsonl';

/** Faults last up to 4 s, endpoints are back 6 s later, and then entries settle. */
const SETTLE_MS = 10_000;

/** Time without faults in which nearly everything must be served. */
const CALM_MS = 3_000;

/** What is asked in the calm must be served but for this share. */
const MOST_UNSERVED_SHARE = 0.02;

/** Time that an entry has to come back after a graceful stop. */
const BACK_MS = 1_500;

/** Apart from other draws, so that a seed's own stay what they were. */
const LEAVING_SEED_OFFSET = 4_000_037;

/** How often promises are checked while the soak runs. */
const CHECK_INTERVAL_MS = 2_000;

/** Endpoints serve on for 3 s after they left; what comes then is too late. */
const LEAVE_MS = 3_200;

/** Entries that are stopped gracefully at the end, one after the other. */
const MOST_ROLLED = 4;

/** Runs the real programs under faults, and judges what callers saw. */
export async function runSoak(options: SoakOptions): Promise<SoakVerdict> {
  const folder = mkdtempSync(join(tmpdir(), 'lilacledge-soak-'));
  const events = createWriteStream(join(folder, EVENTS_FILE));
  const ledger = new Ledger((event) => {
    events.write(`${JSON.stringify(event)}\n`);
  });
  const ports = await PortRange.open(options.seed);
  const shape = options.shape ?? shapeOf(options.processes);
  const fleet = await SoakFleet.start(
    shape,
    ledger,
    folder,
    ports,
    options.hasLargeConfig === true ? BULK : NO_BULK,
  );
  const random = createRandom(options.seed + 1);
  const load = new SoakLoad(
    fleet,
    ledger,
    random,
    `s${options.seed}`,
    options.hasDeadlyRequests,
    options.hasLeavingCaller === true
      ? createRandom(options.seed + LEAVING_SEED_OFFSET)
      : undefined,
  );
  const faults = options.faults ?? planAll(options, shape);
  const violations: string[] = [];
  const checks = watchPromises(ledger, options.print);
  try {
    load.start();
    await bringFaults(fleet, faults, options);
    load.stopDeadlyRequests();
    await sleep(systemClock, SETTLE_MS);
    violations.push(...(await judgeCalm(fleet, load, ledger)));
    await letEndpointsLeave(fleet);
    violations.push(...(await judgeRolling(fleet, ledger)));
    await load.stop();
  } finally {
    checks.stop();
    await fleet.close();
    ports.close();
    await new Promise<void>((resolve) => events.end(resolve));
  }
  violations.push(...load.regressions, ...ledger.violations());
  const isKept = violations.length > 0;
  if (!isKept) rmSync(folder, {recursive: true});
  return {
    seed: options.seed,
    processes: fleet.processCount,
    faults: faults.length,
    attempts: ledger.attempts.length,
    good: ledger.attempts.filter(isGood).length,
    runs: ledger.runCount,
    deadlyEnds: ledger.deadly.count,
    repeats: ledger.repeats.count,
    callersLeft: ledger.gone.judgedCount,
    limited: ledger.limits.judgedCount,
    atLeaving: ledger.saidLeaves.judgedCount,
    rests: ledger.rests.judgedCount,
    violations,
    logFolder: isKept ? folder : undefined,
  };
}

function planAll(options: SoakOptions, shape: SoakShape): PlannedFault[] {
  const {seed, durationMs} = options;
  if (options.hasStatements === true) return planAnswerFaults(seed, durationMs);
  if (options.hasFailing === true) {
    return planFailingFaults(shape.services, durationMs);
  }
  if (options.hasShedding === true) return planSheddingFaults(seed, durationMs);
  if (options.hasLargeConfig === true) return planBulkFaults(seed, durationMs);
  const faults = planFaults(seed, durationMs);
  if (options.hasIdentityFaults === true) {
    faults.push(...planIdentityFaults(seed, durationMs));
  }
  if (options.hasZoneFaults === true) {
    faults.push(...planZoneFaults(seed, durationMs));
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}

async function bringFaults(
  fleet: SoakFleet,
  faults: readonly PlannedFault[],
  {durationMs, print}: SoakOptions,
): Promise<void> {
  const startMs = systemClock.nowMs();
  const untilNext = (atMs: number): number =>
    Math.max(0, startMs + atMs - systemClock.nowMs());
  for (const fault of faults) {
    await sleep(systemClock, untilNext(fault.atMs));
    const {what, atMs, forMs, target} = fault;
    print(`${atMs} ms: ${JSON.stringify(what)} for ${forMs} ms at ${target}`);
    fleet.apply(fault);
  }
  await sleep(systemClock, untilNext(durationMs));
}

/** Says at once what is broken, and not only at the end. */
function watchPromises(
  ledger: Ledger,
  print: (line: string) => void,
): {stop(): void} {
  let known = 0;
  const timer = setInterval(() => {
    const broken = ledger.violations();
    for (const text of broken.slice(known)) print(`broken: ${text}`);
    known = Math.max(known, broken.length);
  }, CHECK_INTERVAL_MS);
  return {stop: () => clearInterval(timer)};
}

/** Once faults are over, all is served and the newest configuration holds. */
async function judgeCalm(
  fleet: SoakFleet,
  load: SoakLoad,
  ledger: Ledger,
): Promise<string[]> {
  const broken: string[] = [];
  const startMs = systemClock.nowMs();
  for (const entry of fleet.entries) {
    if (await load.serves(entry, fleet.version)) continue;
    broken.push(`${entry.program.node.name} lacks version ${fleet.version}`);
  }
  await sleep(systemClock, CALM_MS);
  const idle = fleet.startedAgain.filter(({id, atMs}) =>
    ledger.isIdleSince(id, atMs),
  );
  broken.push(...idle.map(({id}) => `${id} started again and got no work`));
  const asked = ledger.attempts.filter(({sentAtMs}) => sentAtMs >= startMs);
  const unserved = asked.filter((attempt) => !isGood(attempt));
  const isServed = unserved.length <= asked.length * MOST_UNSERVED_SHARE;
  if (asked.length === 0 || !isServed) {
    const first = unserved.slice(0, 3).map(describeAttempt).join('; ');
    broken.push(`${unserved.length} of ${asked.length} unserved: ${first}`);
  }
  return broken;
}

/** The ledger tells of what reaches endpoints later than it may. */
async function letEndpointsLeave(fleet: SoakFleet): Promise<void> {
  await fleet.leaveAfterCut();
  await sleep(systemClock, LEAVE_MS);
}

/** Graceful stops under load cut nothing off. */
async function judgeRolling(
  fleet: SoakFleet,
  ledger: Ledger,
): Promise<string[]> {
  const broken: string[] = [];
  for (const {program, readyUrl} of fleet.entries.slice(0, MOST_ROLLED)) {
    const stoppedAtMs = systemClock.nowMs();
    program.stopGracefully();
    await sleep(systemClock, GRACE_S * 1_000 + BACK_MS);
    await waitForOk(readyUrl);
    const cut = ledger.attempts.filter((attempt) => {
      const isHere = attempt.entry === program.node.name;
      const wasOpen = attempt.endedAtMs >= stoppedAtMs;
      return isHere && wasOpen && isCutByStop(attempt, stoppedAtMs);
    });
    broken.push(
      ...cut.map((one) => `cut by a graceful stop: ${describeAttempt(one)}`),
    );
  }
  return broken;
}

function isGood({status, isComplete}: Attempt): boolean {
  return status === 200 && isComplete;
}

function describeAttempt(attempt: Attempt): string {
  const {kind, requestId, entry, status, isComplete} = attempt;
  const tookMs = Math.round(attempt.endedAtMs - attempt.sentAtMs);
  return `${kind} ${requestId} at ${entry}: ${status}, ${isComplete ? 'whole' : 'cut'}, ${tookMs} ms`;
}
