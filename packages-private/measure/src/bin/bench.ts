#!/usr/bin/env node
import {
  FAST_ENGINE,
  FLEET_MODEL,
  startLocalFleet,
} from '../processes/localFleet.js';
import type {LocalFleet} from '../processes/localFleet.js';
import {scrapeUsage} from '../processes/scrape.js';
import {runStreams} from '../processes/streamLoad.js';
import type {StreamTimes} from '../processes/streamLoad.js';

const STREAM_COUNTS = [1, 100, 1_000];
const OUTPUT_TOKENS = 100;
const ROUNDS = 3;

/** Median latencies of one load run, either direct or through lilacledge. */
interface LatencyMedians {
  readonly streams: number;
  readonly firstTokenMs: number;
  readonly perTokenMs: number;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}

function computeMedians(
  streams: number,
  times: readonly StreamTimes[],
): LatencyMedians {
  return {
    streams,
    firstTokenMs: median(times.map(({firstTokenMs}) => firstTokenMs)),
    perTokenMs: median(
      times.map(
        ({firstTokenMs, totalMs, tokens}) =>
          (totalMs - firstTokenMs) / (tokens - 1),
      ),
    ),
  };
}

/** Runs the streams once and returns the medians of their latencies. */
async function runLoad(
  fleet: LocalFleet,
  isDirect: boolean,
  streams: number,
): Promise<LatencyMedians> {
  const times = await runStreams({
    url: isDirect ? fleet.engineUrl : fleet.entries[0]!.url,
    isDirect,
    streams,
    outputTokens: OUTPUT_TOKENS,
    organisation: 'organisation-1',
    model: FLEET_MODEL,
  });
  return computeMedians(streams, times);
}

/**
 * Runs the load directly at the engine, through lilacledge, and directly again;
 * the second direct run shows the noise. Returns one row of the table.
 */
async function compareRuns(
  fleet: LocalFleet,
  streams: number,
): Promise<string> {
  const measurements: Array<
    readonly [LatencyMedians, LatencyMedians, LatencyMedians]
  > = [];
  for (let round = 0; round < ROUNDS; round++) {
    measurements.push([
      await runLoad(fleet, true, streams),
      await runLoad(fleet, false, streams),
      await runLoad(fleet, true, streams),
    ]);
  }
  const medianOf = (index: 0 | 1 | 2, field: 'firstTokenMs' | 'perTokenMs') =>
    median(measurements.map((row) => row[index][field]));
  const cells = (['firstTokenMs', 'perTokenMs'] as const).map((field) => {
    const direct = medianOf(0, field);
    const ratio = medianOf(1, field) / direct;
    const noise = medianOf(2, field) / direct;
    return `${direct.toFixed(2)} ms direct, x${ratio.toFixed(2)} through (noise x${noise.toFixed(2)})`;
  });
  return `| ${streams} | ${cells.join(' | ')} |`;
}

/** Measures how many tokens one core of an entry and of a sidecar carries. */
async function measureTokensPerCore(fleet: LocalFleet): Promise<string> {
  const streams = 400;
  const urls = [fleet.entries[0]!.url, fleet.sidecars[0]!.url];
  const before = await Promise.all(urls.map(scrapeUsage));
  await runLoad(fleet, false, streams);
  const after = await Promise.all(urls.map(scrapeUsage));
  const rates = urls.map((_, index) => {
    const cpuS = after[index]!.cpuS - before[index]!.cpuS;
    return ((streams * OUTPUT_TOKENS) / cpuS).toFixed(0);
  });
  return `Tokens a second and core: entry ${rates[0]}, sidecar ${rates[1]}.`;
}

const fleet = await startLocalFleet({
  entries: 1,
  sidecars: 1,
  organisations: 10,
  constants: FAST_ENGINE,
});
try {
  await runLoad(fleet, false, 50);
  const print = (line: string) => process.stdout.write(`${line}\n`);
  print('| streams | time to first token | time of a token |');
  print('| --- | --- | --- |');
  for (const streams of STREAM_COUNTS) print(await compareRuns(fleet, streams));
  print('');
  print(await measureTokensPerCore(fleet));
  for (const [role, url] of [
    ['entry', fleet.entries[0]!.url],
    ['sidecar', fleet.sidecars[0]!.url],
  ] as const) {
    const {residentBytes} = await scrapeUsage(url);
    print(
      `Resident after it, ${role}: ${(residentBytes / 2 ** 20).toFixed(0)} MB.`,
    );
  }
} finally {
  await fleet.stack.stop();
}
