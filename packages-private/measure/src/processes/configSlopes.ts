import {waitFor} from '@lilacledge/localstack';
import {sleep, systemClock} from '@lilacledge/shared';
import {fitSlope} from './fitSlope.js';
import type {Slope} from './fitSlope.js';
import {
  applyOrganisations,
  FAST_ENGINE,
  startLocalFleet,
} from './localFleet.js';
import type {LocalFleet} from './localFleet.js';
import {scrapeUsage} from './scrape.js';

const OBSERVATION_MS = 10_000;
const CHANGE_COUNT = 5;

/** Upper bound on the delay until link gauges are up to date. */
const GAUGE_DELAY_MS = 2_500;

/** Costs of a configuration as functions of its number of organisations. */
export interface OrganisationSlopes {
  readonly entryResidentBytes: Slope;
  /** Control bytes that an entry sends for one small change, per link. */
  readonly bytesPerChange: Slope;
  /** Time until a change is active at all processes. */
  readonly inForceMs: Slope;
}

/** Platform load and time to activate a change, against the number of entries. */
export interface ProcessSlopes {
  readonly readsPerS: Slope;
  readonly writesPerS: Slope;
  readonly waitingWatches: Slope;
  readonly membershipReadsPerS: Slope;
  readonly inForceMs: Slope;
  /** Calls in the 10 s after the platform was down for 10 s. */
  readonly callsAfterOutage: Slope;
}

interface OrganisationSample {
  readonly organisations: number;
  readonly inForceMs: number;
  readonly residentBytes: number;
  readonly bytes: number;
}

/** Platform load by a fleet of one size, and its time to activate a change. */
interface ProcessCosts {
  readonly readsPerS: number;
  readonly writesPerS: number;
  readonly waitingWatches: number;
  readonly membershipReadsPerS: number;
  readonly inForceMs: number;
  readonly callsAfterOutage: number;
}

interface PlatformCounters {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly waitingWatches: number;
  readonly membershipReads: number;
}

/** Measures memory, bytes per change and activation time against organisations. */
export async function measureOrganisations(
  sizes: readonly number[],
): Promise<OrganisationSlopes> {
  const samples: OrganisationSample[] = [];
  for (const organisations of sizes) {
    const fleet = await startLocalFleet({
      entries: 2,
      sidecars: 2,
      organisations,
      constants: FAST_ENGINE,
    });
    try {
      // Not the first entry: its figures would include the operator call.
      const {url} = fleet.entries[1]!;
      await sleep(systemClock, GAUGE_DELAY_MS);
      const before = await scrapeUsage(url);
      const inForceMs = await measureActivationMs(fleet, organisations);
      await sleep(systemClock, GAUGE_DELAY_MS);
      const after = await scrapeUsage(url);
      samples.push({
        organisations,
        inForceMs,
        residentBytes: after.residentBytes,
        bytes:
          (after.controlBytes - before.controlBytes) /
          CHANGE_COUNT /
          fleet.sidecars.length,
      });
    } finally {
      await fleet.stack.stop();
    }
  }
  const slopeOf = (field: 'residentBytes' | 'bytes' | 'inForceMs'): Slope =>
    fitSlope(samples.map((s) => ({size: s.organisations, value: s[field]})));
  return {
    entryResidentBytes: slopeOf('residentBytes'),
    bytesPerChange: slopeOf('bytes'),
    inForceMs: slopeOf('inForceMs'),
  };
}

/** Measures calls of the platform and activation time against the number of entries. */
export async function measureProcesses(
  sizes: readonly number[],
): Promise<ProcessSlopes> {
  const samples: Array<ProcessCosts & {readonly entries: number}> = [];
  for (const entries of sizes) {
    const fleet = await startLocalFleet({
      entries,
      sidecars: 4,
      organisations: 10,
      constants: FAST_ENGINE,
    });
    try {
      samples.push({entries, ...(await measureProcessCosts(fleet))});
    } finally {
      await fleet.stack.stop();
    }
  }
  const slopeOf = (field: keyof ProcessCosts): Slope =>
    fitSlope(samples.map((s) => ({size: s.entries, value: s[field]})));
  return {
    readsPerS: slopeOf('readsPerS'),
    writesPerS: slopeOf('writesPerS'),
    waitingWatches: slopeOf('waitingWatches'),
    membershipReadsPerS: slopeOf('membershipReadsPerS'),
    inForceMs: slopeOf('inForceMs'),
    callsAfterOutage: slopeOf('callsAfterOutage'),
  };
}

async function measureProcessCosts(fleet: LocalFleet): Promise<ProcessCosts> {
  const before = await fetchPlatformCounters(fleet);
  await sleep(systemClock, OBSERVATION_MS);
  const after = await fetchPlatformCounters(fleet);
  const perS = (field: keyof PlatformCounters): number =>
    ((after[field] - before[field]) * 1_000) / OBSERVATION_MS;
  const inForceMs = await measureActivationMs(fleet, 10);
  return {
    readsPerS: perS('reads') + perS('watches'),
    writesPerS: perS('writes'),
    waitingWatches: after.waitingWatches,
    membershipReadsPerS: perS('membershipReads'),
    inForceMs,
    callsAfterOutage: await countCallsAfterOutage(fleet),
  };
}

/** Counts the reads and watches that follow an outage of the platform. */
async function countCallsAfterOutage(fleet: LocalFleet): Promise<number> {
  await fleet.stack.controlPlatform({isDown: true});
  await sleep(systemClock, OBSERVATION_MS);
  const before = await fetchPlatformCounters(fleet);
  await fleet.stack.controlPlatform({isDown: false});
  await sleep(systemClock, OBSERVATION_MS);
  const after = await fetchPlatformCounters(fleet);
  return after.reads + after.watches - before.reads - before.watches;
}

/** Mean time until a change is active at all entries and sidecars. */
async function measureActivationMs(
  fleet: LocalFleet,
  organisations: number,
): Promise<number> {
  const urls = [...fleet.entries, ...fleet.sidecars].map(({url}) => url);
  let revision = (await scrapeUsage(urls[0]!)).revision;
  let sumMs = 0;
  for (let change = 0; change < CHANGE_COUNT; change++) {
    const startedMs = performance.now();
    revision = await applyOrganisations(fleet, organisations, revision);
    await Promise.all(urls.map((url) => waitForRevision(url, revision)));
    sumMs += performance.now() - startedMs;
  }
  return sumMs / CHANGE_COUNT;
}

async function waitForRevision(url: string, revision: number): Promise<void> {
  await waitFor('active revision', async () => {
    const usage = await scrapeUsage(url);
    return usage.revision >= revision ? true : undefined;
  });
}

async function fetchPlatformCounters(
  fleet: LocalFleet,
): Promise<PlatformCounters> {
  const response = await fetch(`${fleet.stack.platformUrl}/counters`);
  return (await response.json()) as PlatformCounters;
}
