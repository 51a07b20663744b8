/**
 * Works the tables of docs/CAPACITY.md out from measured slopes
 * (docs/capacity/slopes.json, written by `npm run slopes`); with `--check` it
 * fails when the page does not hold them.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {format, resolveConfig} from 'prettier';

const PAGE = 'docs/CAPACITY.md';
const START = '<!-- capacity:start -->';
const END = '<!-- capacity:end -->';
const slopes = JSON.parse(readFileSync('docs/capacity/slopes.json', 'utf8'));
const streamsOf = (role) => slopes.streams.find((row) => row.role === role);

/** What the product itself sets; see the sources named. */
const SET = {
  linksPerService: 16,
  linksPerSidecar: 3,
  configWatchers: 4,
  watchRenewMs: 5_000,
  membershipPollMs: 2_000,
  reportBytes: 150,
  reportIntervalMs: 500,
  reportPerLinkMs: 20,
  heartbeatMs: 2_000,
  heartbeatPerLinkMs: 8,
  creditTokens: 64,
  creditBytes: 35,
  memberRowBytes: 130,
  offerBytes: 40,
  requestBytes: 37,
  grantRenewMs: 60_000,
};

const BUDGET = {cpuShare: 0.045, memoryMb: 64, bytesPerS: 21_000};

/** The sizes of the brief and of the letter. */
const SIZES = [
  {
    name: 'today',
    entries: 3,
    sidecars: 9,
    services: 2,
    organisations: 10,
    requestsPerS: 27,
    tokensPerS: 5_200,
    changesPerDay: 50,
    replacedPerDay: 10,
  },
  {
    name: 'target',
    entries: 360,
    sidecars: 3_600,
    services: 33,
    organisations: 3_100,
    requestsPerS: 3_800,
    tokensPerS: 1_500_000,
    changesPerDay: 12_000,
    replacedPerDay: 644,
  },
];

const DAY_S = 86_400;
const TOKEN_S = 0.03;
const MB = 2 ** 20;

function workOut(size) {
  const perService = size.sidecars / size.services;
  const own = size.services * Math.min(SET.linksPerService, perService);
  const owed =
    (size.sidecars * Math.min(SET.linksPerSidecar, size.entries)) /
    size.entries;
  const entryLinks = Math.min(size.sidecars, own + owed);
  const sidecarLinks = (entryLinks * size.entries) / size.sidecars;
  // Slopes were measured at the shortest heartbeat; with many links it is longer.
  const heartbeatMs = Math.max(
    SET.heartbeatMs,
    SET.heartbeatPerLinkMs * entryLinks,
  );
  const beats = SET.heartbeatMs / heartbeatMs;
  const changesPerS = size.changesPerDay / DAY_S;
  const transferBytes =
    slopes.organisations.bytesPerChange.atZero +
    slopes.organisations.bytesPerChange.perUnit * size.organisations;
  const streams = size.tokensPerS * TOKEN_S;
  const reportsPerS =
    1_000 / Math.max(SET.reportIntervalMs, SET.reportPerLinkMs * sidecarLinks);
  const entryTokensPerS = size.tokensPerS / size.entries;
  const sidecarTokensPerS = size.tokensPerS / size.sidecars;
  const listChangesPerS = (2 * size.replacedPerDay) / DAY_S;
  const listBytes = SET.memberRowBytes * (size.entries + size.sidecars);
  const entryBytes =
    beats * slopes.entryLinks.controlBytesPerS.perUnit * entryLinks +
    (entryTokensPerS / SET.creditTokens) * SET.creditBytes +
    changesPerS *
      (entryLinks * SET.offerBytes +
        (size.sidecars / size.entries) * transferBytes);
  const sidecarBytes =
    beats * slopes.sidecarLinks.controlBytesPerS.perUnit * sidecarLinks +
    reportsPerS * sidecarLinks * SET.reportBytes +
    changesPerS * (sidecarLinks * SET.offerBytes + SET.requestBytes);
  return {
    size,
    entryLinks,
    sidecarLinks,
    streams,
    reportsPerS,
    entryBytes,
    sidecarBytes,
    listBytesPerS: listChangesPerS * listBytes,
    entryMessagesPerS:
      entryLinks * (beats + reportsPerS) + entryTokensPerS / SET.creditTokens,
    sidecarMessagesPerS: sidecarLinks * (beats + reportsPerS),
    entryCpuIdle:
      slopes.entryLinks.cpuShare.atZero +
      beats * slopes.entryLinks.cpuShare.perUnit * entryLinks,
    entryCpuReports:
      entryLinks * reportsPerS * slopes.entryLinks.cpuShare.perUnit,
    sidecarCpuIdle:
      slopes.sidecarLinks.cpuShare.atZero +
      beats * slopes.sidecarLinks.cpuShare.perUnit * sidecarLinks,
    silenceMs: 2.5 * heartbeatMs,
    entryBaseMb: slopes.entryLinks.residentBytes.atZero / MB,
    sidecarBaseMb: slopes.sidecarLinks.residentBytes.atZero / MB,
    entryCpuTokens:
      (streamsOf('entry').cpuUsPerToken.perUnit * entryTokensPerS) / 1e6,
    sidecarCpuTokens:
      (streamsOf('sidecar').cpuUsPerToken.perUnit * sidecarTokensPerS) / 1e6,
    entryLinkMb:
      (Math.max(0, slopes.entryLinks.residentBytes.perUnit) * entryLinks) / MB,
    sidecarLinkMb:
      (Math.max(0, slopes.sidecarLinks.residentBytes.perUnit) * sidecarLinks) /
      MB,
    configMb:
      (Math.max(0, slopes.organisations.entryResidentBytes.perUnit) *
        size.organisations) /
      MB,
    entryStreamMb:
      (streamsOf('entry').residentBytesPerStream.perUnit * streams) /
      size.entries /
      MB,
    sidecarStreamMb:
      (streamsOf('sidecar').residentBytesPerStream.perUnit * streams) /
      size.sidecars /
      MB,
    watches: Math.min(SET.configWatchers, size.entries),
    reads:
      (2_000 / SET.watchRenewMs) * Math.min(SET.configWatchers, size.entries),
    membershipReads: (1_000 * size.entries) / SET.membershipPollMs,
    inForceMs:
      slopes.processes.inForceMs.atZero +
      slopes.organisations.inForceMs.perUnit * size.organisations,
  };
}

const [today, target] = SIZES.map(workOut);

function row(what, formula, pick, unit, budget, carrier) {
  const a = pick(today);
  const b = pick(target);
  const margin =
    budget === undefined
      ? ''
      : b <= budget
        ? `${Math.round((1 - b / budget) * 100)}% left`
        : `**${(b / budget).toFixed(1)} times the budget**`;
  return `| ${what} | ${formula} | ${show(a)} ${unit} | ${show(b)} ${unit} | ${margin} | ${carrier} |`;
}

function show(value) {
  if (value === 0) return '0';
  if (value >= 1_000) return Math.round(value).toLocaleString('en');
  return String(Number(value.toPrecision(3)));
}

const HEAD =
  '| what | formula | today | target | budget | mechanism |\n| --- | --- | --- | --- | --- | --- |';
const pct = (share) => share * 100;

const text = `
### Entry

${HEAD}
${row('links', 'services x 16 + sidecars x 3 / entries', (w) => w.entryLinks, '', undefined, 'subsets by rendezvous, both ways')}
${row('control bytes sent', '16.5 B/s a link + credit + offers and transfers', (w) => w.entryBytes, 'B/s', BUDGET.bytesPerS, 'heartbeats of 2 s, changes only')}
${row('membership list received', 'its size x changes', (w) => w.listBytesPerS, 'B/s', BUDGET.bytesPerS, '`ETag`: sent when it changes')}
${row('control messages', 'heartbeats, reports, credit', (w) => w.entryMessagesPerS, '/s', undefined, '')}
${row('processor, idle', 'base + slope x links x 2 s / heartbeat', (w) => pct(w.entryCpuIdle), '%', pct(BUDGET.cpuShare), 'heartbeat of 2 s, or 8 ms x links')}
${row('processor, reports while busy', 'links x reports x slope (one message a link and second)', (w) => pct(w.entryCpuReports), '%', undefined, 'see below')}
${row('a stalled link is given up after', '2.5 heartbeats', (w) => w.silenceMs, 'ms', undefined, '')}
${row('memory, the process itself', 'measured', (w) => w.entryBaseMb, 'MB', BUDGET.memoryMb, 'see below')}
${row('processor, tokens (not control)', 'slope x tokens / entries', (w) => pct(w.entryCpuTokens), '%', undefined, 'one event a token')}
${row('memory, links', 'slope x links', (w) => w.entryLinkMb, 'MB', BUDGET.memoryMb, '')}
${row('memory, configuration', 'slope x organisations', (w) => w.configMb, 'MB', BUDGET.memoryMb, 'parts kept once')}
${row('memory, streams (not control)', 'slope x tokens/s x 30 ms / entries', (w) => w.entryStreamMb, 'MB', undefined, 'credit of 512 tokens')}

### Sidecar

${HEAD}
${row('links', 'entry links x entries / sidecars', (w) => w.sidecarLinks, '', undefined, 'the same subsets')}
${row('control bytes sent', '16.5 B/s a link + 150 B a report + offers', (w) => w.sidecarBytes, 'B/s', BUDGET.bytesPerS, 'reports on change, at most one in 20 ms x links')}
${row('control messages', 'heartbeats and reports', (w) => w.sidecarMessagesPerS, '/s', undefined, '')}
${row('processor, idle', 'base + slope x links x 2 s / heartbeat', (w) => pct(w.sidecarCpuIdle), '%', pct(BUDGET.cpuShare), '')}
${row('memory, the process itself', 'measured', (w) => w.sidecarBaseMb, 'MB', BUDGET.memoryMb, 'see below')}
${row('processor, tokens (not control)', 'slope x tokens / sidecars', (w) => pct(w.sidecarCpuTokens), '%', undefined, '')}
${row('memory, links', 'slope x links', (w) => w.sidecarLinkMb, 'MB', BUDGET.memoryMb, '')}
${row('memory, configuration', 'slope x organisations', (w) => w.configMb, 'MB', BUDGET.memoryMb, 'kept to pass it on')}
${row('memory, streams (not control)', 'slope x tokens/s x 30 ms / sidecars', (w) => w.sidecarStreamMb, 'MB', undefined, 'logs, bounded by the output limit')}

### Platform and operators

${HEAD}
${row('waiting watches', 'min(4, entries)', (w) => w.watches, '', undefined, 'a few watchers, links for the rest')}
${row('reads of the store', '2 a watcher and 5 s', (w) => w.reads, '/s', 2_000, '')}
${row('reads of the membership list', 'entries / 2 s', (w) => w.membershipReads, '/s', undefined, '304 without a body')}
${row('a change in force everywhere', 'measured at 2 hops + slope x organisations', (w) => w.inForceMs, 'ms', 6_000, 'offers on links')}
`;

const page = readFileSync(PAGE, 'utf8');
const before = page.slice(0, page.indexOf(START) + START.length);
const after = page.slice(page.indexOf(END));
const options = await resolveConfig(PAGE);
const wanted = await format(`${before}\n${text}\n${after}`, {
  ...options,
  parser: 'markdown',
});
if (process.argv.includes('--check')) {
  if (wanted !== page) {
    console.error(
      `${PAGE} does not follow from its slopes: run node scripts/capacity.mjs`,
    );
    process.exit(1);
  }
} else {
  writeFileSync(PAGE, wanted);
}
