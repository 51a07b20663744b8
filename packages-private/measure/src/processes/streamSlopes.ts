import {sleep, systemClock} from '@lilacledge/shared';
import {fitSlope} from './fitSlope.js';
import type {Slope} from './fitSlope.js';
import {FAST_ENGINE, FLEET_MODEL, startLocalFleet} from './localFleet.js';
import {scrape} from './scrape.js';
import {runStreams} from './streamLoad.js';

const WARM_STREAMS = 50;
const OUTPUT_TOKENS = 150;
const MID_STREAM_MS = 1_500;
const MICROS = 1_000_000;

/** Costs of one role against open streams. */
export interface StreamSlopes {
  readonly role: 'entry' | 'sidecar';
  /** Processor time of one token, from the slope over all tokens carried. */
  readonly cpuUsPerToken: Slope;
  readonly residentBytesPerStream: Slope;
}

interface Sample {
  readonly streams: number;
  readonly tokens: number;
  readonly cpuUs: number;
  readonly residentBytes: number;
}

/** Processor time a token and memory a stream, at entry and sidecar. */
export async function measureStreams(
  sizes: readonly number[],
): Promise<StreamSlopes[]> {
  const fleet = await startLocalFleet({
    entries: 1,
    sidecars: 1,
    organisations: 10,
    constants: FAST_ENGINE,
  });
  try {
    const entryUrl = fleet.entries[0]!.url;
    const urls = [entryUrl, fleet.sidecars[0]!.url];
    await load(entryUrl, WARM_STREAMS);
    const samples: Sample[][] = [[], []];
    for (const streams of sizes) {
      const taken = await sampleLoad(entryUrl, urls, streams);
      taken.forEach((sample, role) => samples[role]!.push(sample));
    }
    return [toSlopes('entry', samples[0]!), toSlopes('sidecar', samples[1]!)];
  } finally {
    await fleet.stack.stop();
  }
}

async function sampleLoad(
  entryUrl: string,
  urls: readonly string[],
  streams: number,
): Promise<Sample[]> {
  const before = await Promise.all(urls.map(scrape));
  const running = load(entryUrl, streams);
  await sleep(systemClock, MID_STREAM_MS);
  const during = await Promise.all(urls.map(scrape));
  await running;
  const after = await Promise.all(urls.map(scrape));
  return urls.map((_, role) => ({
    streams,
    tokens: streams * OUTPUT_TOKENS,
    cpuUs: (after[role]!.cpuS - before[role]!.cpuS) * MICROS,
    residentBytes: during[role]!.residentBytes,
  }));
}

async function load(url: string, streams: number): Promise<void> {
  await runStreams({
    url,
    isDirect: false,
    streams,
    outputTokens: OUTPUT_TOKENS,
    organisation: 'organisation-1',
    model: FLEET_MODEL,
  });
}

function toSlopes(
  role: StreamSlopes['role'],
  samples: readonly Sample[],
): StreamSlopes {
  return {
    role,
    cpuUsPerToken: fitSlope(
      samples.map(({tokens, cpuUs}) => ({size: tokens, value: cpuUs})),
    ),
    residentBytesPerStream: fitSlope(
      samples.map(({streams, residentBytes}) => ({
        size: streams,
        value: residentBytes,
      })),
    ),
  };
}
