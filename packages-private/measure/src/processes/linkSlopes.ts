import {sleep, systemClock} from '@lilacledge/shared';
import {fitSlope} from './fitSlope.js';
import type {Point, Slope} from './fitSlope.js';
import {FAST_ENGINE, startLocalFleet} from './localFleet.js';
import type {LocalFleet} from './localFleet.js';
import {meanOf, scrapeUsage} from './scrape.js';
import type {ProcessUsage} from './scrape.js';

const OBSERVATION_MS = 20_000;

/** Mean use of resources by one process with a number of idle links. */
interface IdleSample {
  readonly links: number;
  readonly cpuShare: number;
  readonly controlBytesPerS: number;
  readonly residentBytes: number;
}

/** Costs of one role as functions of its number of idle links. */
export interface IdleSlopes {
  readonly cpuShare: Slope;
  readonly controlBytesPerS: Slope;
  readonly residentBytes: Slope;
  readonly points: readonly IdleSample[];
}

/** Measures the idle costs of an entry as functions of its links to sidecars. */
export async function measureEntryLinks(
  sizes: readonly number[],
): Promise<IdleSlopes> {
  const points: IdleSample[] = [];
  for (const sidecars of sizes) {
    points.push(
      await sampleIdleFleet({entries: 1, sidecars}, sidecars, (fleet) =>
        fleet.entries.map(({url}) => url),
      ),
    );
  }
  return fitIdleSlopes(points);
}

/** Measures the idle costs of a sidecar as functions of its links to entries. */
export async function measureSidecarLinks(
  sizes: readonly number[],
): Promise<IdleSlopes> {
  const points: IdleSample[] = [];
  for (const entries of sizes) {
    points.push(
      await sampleIdleFleet({entries, sidecars: 2}, entries, (fleet) =>
        fleet.sidecars.map(({url}) => url),
      ),
    );
  }
  return fitIdleSlopes(points);
}

async function sampleIdleFleet(
  counts: {readonly entries: number; readonly sidecars: number},
  links: number,
  urlsOf: (fleet: LocalFleet) => string[],
): Promise<IdleSample> {
  const fleet = await startLocalFleet({
    ...counts,
    organisations: 10,
    constants: FAST_ENGINE,
  });
  try {
    await sleep(systemClock, 3_000);
    const before = await scrapeAll(urlsOf(fleet));
    await sleep(systemClock, OBSERVATION_MS);
    const after = await scrapeAll(urlsOf(fleet));
    const perS = (field: 'cpuS' | 'controlBytes'): number =>
      ((meanOf(after, field) - meanOf(before, field)) * 1_000) / OBSERVATION_MS;
    return {
      links,
      cpuShare: perS('cpuS'),
      controlBytesPerS: perS('controlBytes'),
      residentBytes: meanOf(after, 'residentBytes'),
    };
  } finally {
    await fleet.stack.stop();
  }
}

function scrapeAll(urls: readonly string[]): Promise<ProcessUsage[]> {
  return Promise.all(urls.map(scrapeUsage));
}

function fitIdleSlopes(points: readonly IdleSample[]): IdleSlopes {
  const slopeOf = (
    field: 'cpuShare' | 'controlBytesPerS' | 'residentBytes',
  ): Slope =>
    fitSlope(
      points.map((point): Point => ({size: point.links, value: point[field]})),
    );
  return {
    cpuShare: slopeOf('cpuShare'),
    controlBytesPerS: slopeOf('controlBytesPerS'),
    residentBytes: slopeOf('residentBytes'),
    points,
  };
}
