import {sleep, systemClock} from '@lilacledge/shared';
import {fitSlope} from './fitSlope.js';
import type {Slope} from './fitSlope.js';
import {FAST_ENGINE, FLEET_MODEL, startLocalFleet} from './localFleet.js';
import {scrapeUsage} from './scrape.js';
import {runStreams} from './streamLoad.js';

const WARM_UP_STREAMS = 50;
const OUTPUT_TOKENS = 150;
const MID_STREAM_MS = 1_500;
const MICROS_PER_S = 1_000_000;

/** Costs of one role as functions of its open streams. */
export interface StreamSlopes {
  readonly role: 'entry' | 'sidecar';
  /** Processor time against the number of tokens; the slope is the cost of a token. */
  readonly cpuUsPerToken: Slope;
  readonly residentBytesPerStream: Slope;
}

interface StreamSample {
  readonly streams: number;
  readonly tokens: number;
  readonly cpuUs: number;
  readonly residentBytes: number;
}

/** Measures processor time per token and memory per stream of entry and sidecar. */
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
    await runLoad(entryUrl, WARM_UP_STREAMS);
    const samples: StreamSample[][] = [[], []];
    for (const streams of sizes) {
      const roleSamples = await sampleLoad(entryUrl, urls, streams);
      roleSamples.forEach((sample, role) => samples[role]!.push(sample));
    }
    return [
      fitStreamSlopes('entry', samples[0]!),
      fitStreamSlopes('sidecar', samples[1]!),
    ];
  } finally {
    await fleet.stack.stop();
  }
}

async function sampleLoad(
  entryUrl: string,
  urls: readonly string[],
  streams: number,
): Promise<StreamSample[]> {
  const before = await Promise.all(urls.map(scrapeUsage));
  const running = runLoad(entryUrl, streams);
  await sleep(systemClock, MID_STREAM_MS);
  const during = await Promise.all(urls.map(scrapeUsage));
  await running;
  const after = await Promise.all(urls.map(scrapeUsage));
  return urls.map((_, role) => ({
    streams,
    tokens: streams * OUTPUT_TOKENS,
    cpuUs: (after[role]!.cpuS - before[role]!.cpuS) * MICROS_PER_S,
    residentBytes: during[role]!.residentBytes,
  }));
}

async function runLoad(url: string, streams: number): Promise<void> {
  await runStreams({
    url,
    isDirect: false,
    streams,
    outputTokens: OUTPUT_TOKENS,
    organisation: 'organisation-1',
    model: FLEET_MODEL,
  });
}

function fitStreamSlopes(
  role: StreamSlopes['role'],
  samples: readonly StreamSample[],
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
