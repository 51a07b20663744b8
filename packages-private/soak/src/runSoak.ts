import {createWriteStream, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {sleep, systemClock} from '@lilacledge/shared';
import {countWork} from './countWork.js';
import {createLoad} from './createLoad.js';
import type {PlannedFault} from './faultPlan.js';
import {
  checkAfterFaults,
  checkGracefulStops,
  checkLeavingEndpoints,
} from './finalChecks.js';
import {findLeaks} from './leakCheck.js';
import {Ledger} from './ledger.js';
import {PaceChanges} from './paceChanges.js';
import {PortRange} from './portRange.js';
import {ResidentWatch} from './residentWatch.js';
import {RetryCounterWatch} from './retryCounterWatch.js';
import {planSelectedFaults, selectConfig} from './selectedFaults.js';
import {SoakFleet} from './soakFleet.js';
import type {SoakOptions, SoakVerdict} from './soakOptions.js';
import {createDefaultShape} from './soakShape.js';
import {TakenPorts} from './takenPorts.js';
import {UploadingCallers} from './uploadingCallers.js';

/** The observed events, kept with the programs' logs when a guarantee was violated. */
const EVENTS_FILE = 'events.jsonl';

/**
 * Time for entries to settle after the last fault, which lasts up to 4 s; endpoints are back
 * 6 s later.
 */
const SETTLE_MS = 10_000;

/** Interval at which the guarantees are checked while the soak runs. */
const CHECK_INTERVAL_MS = 2_000;

/** Time until a version must be active, as in the programs' settings. */
const CONFIG_APPLY_MS = 2_000;

/** Runs the real programs under faults and checks the guarantees to callers. */
export async function runSoak(options: SoakOptions): Promise<SoakVerdict> {
  const folder = mkdtempSync(join(tmpdir(), 'lilacledge-soak-'));
  const events = createWriteStream(join(folder, EVENTS_FILE));
  const ledger = new Ledger((event) => {
    events.write(`${JSON.stringify(event)}\n`);
  });
  const ports = await PortRange.open(options.seed);
  const shape = options.shape ?? createDefaultShape(options.processes);
  const takenPorts = new TakenPorts(options.seed);
  const fleet = await SoakFleet.start(
    shape,
    ledger,
    folder,
    ports,
    selectConfig(options),
    options.hasUploads === true ? takenPorts : undefined,
  );
  const resident = new ResidentWatch(fleet.programs, ledger);
  const counters = new RetryCounterWatch(fleet.entries, ledger);
  const uploads =
    options.hasUploads === true
      ? new UploadingCallers(fleet, options.seed)
      : undefined;
  const load = createLoad(options, fleet, ledger);
  const paces = new PaceChanges(fleet.endpointHosts, options.seed);
  const faults = options.faults ?? planSelectedFaults(options, shape);
  const violations: string[] = [];
  const printer = printViolations(ledger, options.print);
  try {
    load.start();
    uploads?.start();
    if (options.hasPaceChanges === true) paces.start();
    await injectFaults(fleet, faults, options);
    load.stopCrashingRequests();
    uploads?.stop();
    takenPorts.stop();
    await sleep(systemClock, SETTLE_MS);
    violations.push(...(await checkAfterFaults(fleet, load, ledger)));
    await load.stop();
    violations.push(...(await findLeaks(fleet)));
    load.start();
    await checkLeavingEndpoints(fleet);
    violations.push(...(await checkGracefulStops(fleet, ledger)));
    await load.stop();
  } finally {
    printer.stop();
    resident.stop();
    uploads?.stop();
    paces.stop();
    await counters.stop();
    await fleet.close();
    ports.close();
    await new Promise<void>((resolve) => events.end(resolve));
  }
  violations.push(...load.versionRegressions, ...ledger.violations());
  for (const {program} of fleet.entries) {
    ledger.retryLogs.readLog(program.node.name, program.readLog());
  }
  violations.push(...ledger.retryLogs.violations());
  if (options.hasLargeConfig === true) {
    violations.push(...fleet.readVersions().violations(CONFIG_APPLY_MS));
  }
  const isKept = violations.length > 0;
  if (!isKept) rmSync(folder, {recursive: true});
  return {
    seed: options.seed,
    processes: fleet.processCount,
    faults: faults.length,
    ...countWork(ledger),
    peakMb: Math.round(resident.peakMb),
    takenPorts: takenPorts.count,
    violations,
    logFolder: isKept ? folder : undefined,
  };
}

async function injectFaults(
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
    fleet.inject(fault);
  }
  await sleep(systemClock, untilNext(durationMs));
}

/** Prints violations as they occur, not only at the end. */
function printViolations(
  ledger: Ledger,
  print: (line: string) => void,
): {stop(): void} {
  let printed = 0;
  const timer = setInterval(() => {
    const violations = ledger.violations();
    for (const text of violations.slice(printed)) print(`violation: ${text}`);
    printed = Math.max(printed, violations.length);
  }, CHECK_INTERVAL_MS);
  return {stop: () => clearInterval(timer)};
}
