/**
 * Computes the tables of docs/CAPACITY.md from measured slopes
 * (docs/capacity/slopes.json, written by `npm run slopes`). With `--check`, fails
 * if the page is out of date.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {format, resolveConfig} from 'prettier';

const PAGE = 'docs/CAPACITY.md';
const START = '<!-- capacity:start -->';
const END = '<!-- capacity:end -->';
const slopes = JSON.parse(readFileSync('docs/capacity/slopes.json', 'utf8'));
const streamsOf = (role) => slopes.streams.find((row) => row.role === role);

/** Constants and defaults of the product; must match its sources. */
const PRODUCT = {
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

/** Fleet sizes that the tables compare. */
const FLEET_SIZES = [
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
const TOKEN_INTERVAL_S = 0.03;
const MB = 2 ** 20;

function computeLoad(size) {
  const perService = size.sidecars / size.services;
  const fromEntry =
    size.services * Math.min(PRODUCT.linksPerService, perService);
  const fromSidecars =
    (size.sidecars * Math.min(PRODUCT.linksPerSidecar, size.entries)) /
    size.entries;
  const entryLinks = Math.min(size.sidecars, fromEntry + fromSidecars);
  const sidecarLinks = (entryLinks * size.entries) / size.sidecars;
  // The slopes hold for the shortest heartbeat interval; it grows with the number of links.
  const heartbeatMs = Math.max(
    PRODUCT.heartbeatMs,
    PRODUCT.heartbeatPerLinkMs * entryLinks,
  );
  const heartbeatRatio = PRODUCT.heartbeatMs / heartbeatMs;
  const changesPerS = size.changesPerDay / DAY_S;
  const transferBytes =
    slopes.organisations.bytesPerChange.atZero +
    slopes.organisations.bytesPerChange.perUnit * size.organisations;
  const streams = size.tokensPerS * TOKEN_INTERVAL_S;
  const reportsPerS =
    1_000 /
    Math.max(PRODUCT.reportIntervalMs, PRODUCT.reportPerLinkMs * sidecarLinks);
  const entryTokensPerS = size.tokensPerS / size.entries;
  const sidecarTokensPerS = size.tokensPerS / size.sidecars;
  const listChangesPerS = (2 * size.replacedPerDay) / DAY_S;
  const listBytes = PRODUCT.memberRowBytes * (size.entries + size.sidecars);
  const entryBytes =
    heartbeatRatio * slopes.entryLinks.controlBytesPerS.perUnit * entryLinks +
    (entryTokensPerS / PRODUCT.creditTokens) * PRODUCT.creditBytes +
    changesPerS *
      (entryLinks * PRODUCT.offerBytes +
        (size.sidecars / size.entries) * transferBytes);
  const sidecarBytes =
    heartbeatRatio *
      slopes.sidecarLinks.controlBytesPerS.perUnit *
      sidecarLinks +
    reportsPerS * sidecarLinks * PRODUCT.reportBytes +
    changesPerS * (sidecarLinks * PRODUCT.offerBytes + PRODUCT.requestBytes);
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
      entryLinks * (heartbeatRatio + reportsPerS) +
      entryTokensPerS / PRODUCT.creditTokens,
    sidecarMessagesPerS: sidecarLinks * (heartbeatRatio + reportsPerS),
    entryCpuIdle:
      slopes.entryLinks.cpuShare.atZero +
      heartbeatRatio * slopes.entryLinks.cpuShare.perUnit * entryLinks,
    entryCpuReports:
      entryLinks * reportsPerS * slopes.entryLinks.cpuShare.perUnit,
    sidecarCpuIdle:
      slopes.sidecarLinks.cpuShare.atZero +
      heartbeatRatio * slopes.sidecarLinks.cpuShare.perUnit * sidecarLinks,
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
    watches: Math.min(PRODUCT.configWatchers, size.entries),
    reads:
      (2_000 / PRODUCT.watchRenewMs) *
      Math.min(PRODUCT.configWatchers, size.entries),
    membershipReads: (1_000 * size.entries) / PRODUCT.membershipPollMs,
    inForceMs:
      slopes.processes.inForceMs.atZero +
      slopes.organisations.inForceMs.perUnit * size.organisations,
  };
}

const [today, target] = FLEET_SIZES.map(computeLoad);

function tableRow(what, formula, pick, unit, budget, carrier) {
  const a = pick(today);
  const b = pick(target);
  const margin =
    budget === undefined
      ? ''
      : b <= budget
        ? `${Math.round((1 - b / budget) * 100)}% left`
        : `**${(b / budget).toFixed(1)} times the budget**`;
  return `| ${what} | ${formula} | ${formatValue(a)} ${unit} | ${formatValue(b)} ${unit} | ${margin} | ${carrier} |`;
}

function formatValue(value) {
  if (value === 0) return '0';
  if (value >= 1_000) return Math.round(value).toLocaleString('en');
  return String(Number(value.toPrecision(3)));
}

const TABLE_HEADER =
  '| what | formula | today | target | budget | mechanism |\n| --- | --- | --- | --- | --- | --- |';
const toPercent = (share) => share * 100;

const text = `
### Entry

${TABLE_HEADER}
${tableRow('links', 'services x 16 + sidecars x 3 / entries', (w) => w.entryLinks, '', undefined, 'subsets by rendezvous, both ways')}
${tableRow('control bytes sent', '16.5 B/s a link + credit + offers and transfers', (w) => w.entryBytes, 'B/s', BUDGET.bytesPerS, 'heartbeats of 2 s, changes only')}
${tableRow('membership list received', 'its size x changes', (w) => w.listBytesPerS, 'B/s', BUDGET.bytesPerS, '`ETag`: sent when it changes')}
${tableRow('control messages', 'heartbeats, reports, credit', (w) => w.entryMessagesPerS, '/s', undefined, '')}
${tableRow('processor, idle', 'base + slope x links x 2 s / heartbeat', (w) => toPercent(w.entryCpuIdle), '%', toPercent(BUDGET.cpuShare), 'heartbeat of 2 s, or 8 ms x links')}
${tableRow('processor, reports while busy', 'links x reports x slope (one message a link and second)', (w) => toPercent(w.entryCpuReports), '%', undefined, 'see below')}
${tableRow('a stalled link is given up after', '2.5 heartbeats', (w) => w.silenceMs, 'ms', undefined, '')}
${tableRow('memory, the process itself', 'measured', (w) => w.entryBaseMb, 'MB', BUDGET.memoryMb, 'see below')}
${tableRow('processor, tokens (not control)', 'slope x tokens / entries', (w) => toPercent(w.entryCpuTokens), '%', undefined, 'one event a token')}
${tableRow('memory, links', 'slope x links', (w) => w.entryLinkMb, 'MB', BUDGET.memoryMb, '')}
${tableRow('memory, configuration', 'slope x organisations', (w) => w.configMb, 'MB', BUDGET.memoryMb, 'parts kept once')}
${tableRow('memory, streams (not control)', 'slope x tokens/s x 30 ms / entries', (w) => w.entryStreamMb, 'MB', undefined, 'credit of 512 tokens')}

### Sidecar

${TABLE_HEADER}
${tableRow('links', 'entry links x entries / sidecars', (w) => w.sidecarLinks, '', undefined, 'the same subsets')}
${tableRow('control bytes sent', '16.5 B/s a link + 150 B a report + offers', (w) => w.sidecarBytes, 'B/s', BUDGET.bytesPerS, 'reports on change, at most one in 20 ms x links')}
${tableRow('control messages', 'heartbeats and reports', (w) => w.sidecarMessagesPerS, '/s', undefined, '')}
${tableRow('processor, idle', 'base + slope x links x 2 s / heartbeat', (w) => toPercent(w.sidecarCpuIdle), '%', toPercent(BUDGET.cpuShare), '')}
${tableRow('memory, the process itself', 'measured', (w) => w.sidecarBaseMb, 'MB', BUDGET.memoryMb, 'see below')}
${tableRow('processor, tokens (not control)', 'slope x tokens / sidecars', (w) => toPercent(w.sidecarCpuTokens), '%', undefined, '')}
${tableRow('memory, links', 'slope x links', (w) => w.sidecarLinkMb, 'MB', BUDGET.memoryMb, '')}
${tableRow('memory, configuration', 'slope x organisations', (w) => w.configMb, 'MB', BUDGET.memoryMb, 'kept to pass it on')}
${tableRow('memory, streams (not control)', 'slope x tokens/s x 30 ms / sidecars', (w) => w.sidecarStreamMb, 'MB', undefined, 'logs, bounded by the output limit')}

### Platform and operators

${TABLE_HEADER}
${tableRow('waiting watches', 'min(4, entries)', (w) => w.watches, '', undefined, 'a few watchers, links for the rest')}
${tableRow('reads of the store', '2 a watcher and 5 s', (w) => w.reads, '/s', 2_000, '')}
${tableRow('reads of the membership list', 'entries / 2 s', (w) => w.membershipReads, '/s', undefined, '304 without a body')}
${tableRow('a change in force everywhere', 'measured at 2 hops + slope x organisations', (w) => w.inForceMs, 'ms', 6_000, 'offers on links')}
`;

const page = readFileSync(PAGE, 'utf8');
const before = page.slice(0, page.indexOf(START) + START.length);
const after = page.slice(page.indexOf(END));
const options = await resolveConfig(PAGE);
const expected = await format(`${before}\n${text}\n${after}`, {
  ...options,
  parser: 'markdown',
});
if (process.argv.includes('--check')) {
  if (expected !== page) {
    console.error(
      `${PAGE} does not follow from its slopes: run node scripts/capacity.mjs`,
    );
    process.exit(1);
  }
} else {
  writeFileSync(PAGE, expected);
}
