#!/usr/bin/env node
import {
  FAST_ENGINE,
  FLEET_MODEL,
  startLocalFleet,
} from '../processes/localFleet.js';
import type {LocalFleet} from '../processes/localFleet.js';
import {scrape} from '../processes/scrape.js';
import {runStreams} from '../processes/streamLoad.js';
import type {StreamTimes} from '../processes/streamLoad.js';

const STREAMS = [1, 100, 1_000];
const OUTPUT_TOKENS = 100;
const ROUNDS = 3;

/** One way to the engine, at one number of streams. */
interface Row {
  readonly streams: number;
  readonly firstTokenMs: number;
  readonly perTokenMs: number;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}

function toRow(streams: number, times: readonly StreamTimes[]): Row {
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

async function play(
  fleet: LocalFleet,
  isDirect: boolean,
  streams: number,
): Promise<Row> {
  const times = await runStreams({
    url: isDirect ? fleet.engineUrl : fleet.entries[0]!.url,
    isDirect,
    streams,
    outputTokens: OUTPUT_TOKENS,
    organisation: 'organisation-1',
    model: FLEET_MODEL,
  });
  return toRow(streams, times);
}

/** Direct, through the product, and direct again: the last shows the noise. */
async function compare(fleet: LocalFleet, streams: number): Promise<string> {
  const rows: Array<readonly [Row, Row, Row]> = [];
  for (let round = 0; round < ROUNDS; round++) {
    rows.push([
      await play(fleet, true, streams),
      await play(fleet, false, streams),
      await play(fleet, true, streams),
    ]);
  }
  const of = (index: 0 | 1 | 2, field: 'firstTokenMs' | 'perTokenMs') =>
    median(rows.map((row) => row[index][field]));
  const cells = (['firstTokenMs', 'perTokenMs'] as const).map((field) => {
    const direct = of(0, field);
    const ratio = of(1, field) / direct;
    const noise = of(2, field) / direct;
    return `${direct.toFixed(2)} ms direct, x${ratio.toFixed(2)} through (noise x${noise.toFixed(2)})`;
  });
  return `| ${streams} | ${cells.join(' | ')} |`;
}

async function tokensPerCore(fleet: LocalFleet): Promise<string> {
  const streams = 400;
  const urls = [fleet.entries[0]!.url, fleet.sidecars[0]!.url];
  const before = await Promise.all(urls.map(scrape));
  await play(fleet, false, streams);
  const after = await Promise.all(urls.map(scrape));
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
  await play(fleet, false, 50);
  const print = (line: string) => process.stdout.write(`${line}\n`);
  print('| streams | time to first token | time of a token |');
  print('| --- | --- | --- |');
  for (const streams of STREAMS) print(await compare(fleet, streams));
  print('');
  print(await tokensPerCore(fleet));
  for (const [role, url] of [
    ['entry', fleet.entries[0]!.url],
    ['sidecar', fleet.sidecars[0]!.url],
  ] as const) {
    const {residentBytes} = await scrape(url);
    print(
      `Resident after it, ${role}: ${(residentBytes / 2 ** 20).toFixed(0)} MB.`,
    );
  }
} finally {
  await fleet.stack.stop();
}
