#!/usr/bin/env node
import {cpus} from 'node:os';
import {
  measureOrganisations,
  measureProcesses,
} from '../processes/configSlopes.js';
import {
  measureEntryLinks,
  measureSidecarLinks,
} from '../processes/linkSlopes.js';
import {measureStreams} from '../processes/streamSlopes.js';

const LINK_COUNTS = [8, 16, 32, 64];
const ENTRY_COUNTS = [2, 4, 8, 16];
const STREAM_COUNTS = [50, 100, 200, 400];
const ORGANISATION_COUNTS = [100, 400, 1_600, 3_100];

/** Measurements by name; scripts/capacity.mjs computes docs/CAPACITY.md from them. */
const MEASUREMENTS: Readonly<Record<string, () => Promise<unknown>>> = {
  entryLinks: () => measureEntryLinks(LINK_COUNTS),
  sidecarLinks: () => measureSidecarLinks(ENTRY_COUNTS),
  streams: () => measureStreams(STREAM_COUNTS),
  organisations: () => measureOrganisations(ORGANISATION_COUNTS),
  processes: () => measureProcesses(ENTRY_COUNTS),
};

/** Rounds each number to four significant digits, as a replacer of JSON.stringify. */
function roundNumbers(_key: string, value: unknown): unknown {
  return typeof value === 'number' ? Number(value.toPrecision(4)) : value;
}

const selectedName = process.argv[2];
const results: Record<string, unknown> = {
  machine: `${cpus().length} processors, Node ${process.version}`,
};
for (const [name, measure] of Object.entries(MEASUREMENTS)) {
  if (selectedName !== undefined && selectedName !== name) continue;
  results[name] = await measure();
  process.stderr.write(`${name} done\n`);
}
process.stdout.write(`${JSON.stringify(results, roundNumbers, 2)}\n`);
