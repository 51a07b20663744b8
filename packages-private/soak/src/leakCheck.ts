import {sleep, systemClock} from '@lilacledge/shared';
import type {SoakFleet} from './soakFleet.js';

/** Gauges of an entry that are 0 while no caller has a request. */
const IDLE_GAUGES = [
  'lilacledge_open_requests',
  'lilacledge_open_runs',
  'lilacledge_waiting_requests',
  'lilacledge_held_bytes',
  'lilacledge_held_streams',
] as const;

/** Time after the last request until nothing of it may be left. */
const RELEASE_MS = 3_000;

const POLL_INTERVAL_MS = 100;

/** Describes what requests have left behind, once no caller has one any more. */
export async function findLeaks(fleet: SoakFleet): Promise<string[]> {
  const untilMs = systemClock.nowMs() + RELEASE_MS;
  for (;;) {
    const leaks = [
      ...(await findOpenGauges(fleet)),
      ...findOpenConnections(fleet),
    ];
    if (leaks.length === 0 || systemClock.nowMs() >= untilMs) return leaks;
    await sleep(systemClock, POLL_INTERVAL_MS);
  }
}

async function findOpenGauges(fleet: SoakFleet): Promise<string[]> {
  const ofEntries = fleet.entries.map(async ({program, metricsUrl}) => {
    const metrics = await readMetrics(metricsUrl);
    return IDLE_GAUGES.filter((gauge) => metrics.get(gauge) !== 0).map(
      (gauge) =>
        `${program.node.name} without requests: ${gauge} ${metrics.get(gauge)}`,
    );
  });
  return (await Promise.all(ofEntries)).flat();
}

/** Entries close their connections to endpoints with the answers; sidecars keep one to theirs. */
function findOpenConnections(fleet: SoakFleet): string[] {
  return fleet.endpointHosts
    .map(({name, proxy, sidecars}) => ({
      name,
      count: proxy.connectionCount - sidecars,
    }))
    .filter(({count}) => count > 0)
    .map(({name, count}) => `${name} without requests: ${count} connections`);
}

/** Values of the metrics without labels, by name; empty if there is no answer. */
async function readMetrics(url: string): Promise<ReadonlyMap<string, number>> {
  const text = await fetch(url)
    .then((response) => response.text())
    .catch(() => '');
  const lines = text.split('\n').map((line) => line.split(' '));
  return new Map(lines.map(([name, value]) => [name!, Number(value)]));
}
