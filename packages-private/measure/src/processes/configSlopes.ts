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
import {scrape} from './scrape.js';

const OBSERVED_MS = 10_000;
const CHANGES = 5;

/** Gauges of links are brought up to date in less than this time. */
const GAUGE_DELAY_MS = 2_500;

/** What a configuration costs, against its number of organisations. */
export interface OrganisationSlopes {
  readonly entryResidentBytes: Slope;
  /** Control bytes that an entry sends for one small change, per link. */
  readonly bytesPerChange: Slope;
  readonly inForceMs: Slope;
}

/** What processes cost the platform, and how fast a change spreads. */
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

/** What a fleet of one size costs the platform. */
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

/** Memory, bytes a change and time in force against organisations. */
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
      // Not the entry that answers the operator: its share is the call's.
      const {url} = fleet.entries[1]!;
      await sleep(systemClock, GAUGE_DELAY_MS);
      const before = await scrape(url);
      const inForceMs = await meanTimeInForce(fleet, organisations);
      await sleep(systemClock, GAUGE_DELAY_MS);
      const after = await scrape(url);
      samples.push({
        organisations,
        inForceMs,
        residentBytes: after.residentBytes,
        bytes:
          (after.controlBytes - before.controlBytes) /
          CHANGES /
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

/** Calls of the platform and time in force against the number of entries. */
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
      samples.push({entries, ...(await observe(fleet))});
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

async function observe(fleet: LocalFleet): Promise<ProcessCosts> {
  const before = await counters(fleet);
  await sleep(systemClock, OBSERVED_MS);
  const after = await counters(fleet);
  const perS = (field: keyof PlatformCounters): number =>
    ((after[field] - before[field]) * 1_000) / OBSERVED_MS;
  const inForceMs = await meanTimeInForce(fleet, 10);
  return {
    readsPerS: perS('reads') + perS('watches'),
    writesPerS: perS('writes'),
    waitingWatches: after.waitingWatches,
    membershipReadsPerS: perS('membershipReads'),
    inForceMs,
    callsAfterOutage: await callsAfterOutage(fleet),
  };
}

async function callsAfterOutage(fleet: LocalFleet): Promise<number> {
  await fleet.stack.controlPlatform({isDown: true});
  await sleep(systemClock, OBSERVED_MS);
  const before = await counters(fleet);
  await fleet.stack.controlPlatform({isDown: false});
  await sleep(systemClock, OBSERVED_MS);
  const after = await counters(fleet);
  return after.reads + after.watches - before.reads - before.watches;
}

async function meanTimeInForce(
  fleet: LocalFleet,
  organisations: number,
): Promise<number> {
  const urls = [...fleet.entries, ...fleet.sidecars].map(({url}) => url);
  let revision = (await scrape(urls[0]!)).revision;
  let sumMs = 0;
  for (let change = 0; change < CHANGES; change++) {
    const startedMs = performance.now();
    revision = await applyOrganisations(fleet, organisations, revision);
    await Promise.all(urls.map((url) => untilRevision(url, revision)));
    sumMs += performance.now() - startedMs;
  }
  return sumMs / CHANGES;
}

async function untilRevision(url: string, revision: number): Promise<void> {
  await waitFor('revision in force', async () => {
    const use = await scrape(url);
    return use.revision >= revision ? true : undefined;
  });
}

async function counters(fleet: LocalFleet): Promise<PlatformCounters> {
  const response = await fetch(`${fleet.stack.platformUrl}/counters`);
  return (await response.json()) as PlatformCounters;
}
