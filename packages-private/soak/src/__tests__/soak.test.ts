import {execFileSync} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {beforeAll, describe, expect, it} from 'vitest';
import {planAnswerFaults} from '../answerFaults.js';
import {planCombinedFaults} from '../combinedFaults.js';
import {planBulkFaults} from '../bulkFaults.js';
import {planFaults} from '../faultPlan.js';
import {planIdentityFaults} from '../identityFaults.js';
import {runSoak} from '../runSoak.js';
import {planRestoreFaults} from '../restoreFaults.js';
import {planSheddingFaults} from '../sheddingFaults.js';
import {planSilentFaults} from '../silentFaults.js';
import {planUploadFaults} from '../uploadFaults.js';
import {planZoneFaults} from '../zoneFaults.js';

const root = fileURLToPath(new URL('../../../../', import.meta.url));

/** Enough for about ten faults; longer soaks are run by hand. */
const DURATION_MS = 7_000;

/** Enough for a round of each kind of combined faults. */
const COMBINED_MS = 35_000;

const RUN_TIMEOUT_MS = 90_000;

describe('planFaults', () => {
  it('draws the same faults for the same seed, in order of time', () => {
    const faults = planFaults(7, 30_000);
    expect(faults).toEqual(planFaults(7, 30_000));
    expect(faults).not.toEqual(planFaults(8, 30_000));
    const times = faults.map(({atMs}) => atMs);
    expect(times).toEqual([...times].sort((a, b) => a - b));
  });

  it('draws every kind of fault in a long run', () => {
    const kinds = new Set(planFaults(1, 600_000).map(({what}) => what.kind));
    expect(kinds.size).toBe(21);
  });
});

describe('planIdentityFaults', () => {
  it('draws every kind, the same for the same seed', () => {
    const faults = planIdentityFaults(7, 120_000);
    expect(faults).toEqual(planIdentityFaults(7, 120_000));
    expect(new Set(faults.map(({what}) => what.kind)).size).toBe(3);
  });
});

describe('planZoneFaults', () => {
  it('draws the same evacuations for the same seed, for all zones', () => {
    const faults = planZoneFaults(7, 120_000);
    expect(faults).toEqual(planZoneFaults(7, 120_000));
    expect(new Set(faults.map(({target}) => target % 3)).size).toBe(3);
  });
});

describe('planUploadFaults', () => {
  it('draws every kind, the same for the same seed', () => {
    const faults = planUploadFaults(7, 120_000);
    expect(faults).toEqual(planUploadFaults(7, 120_000));
    expect(new Set(faults.map(({what}) => what.kind)).size).toBe(4);
  });
});

describe('planRestoreFaults', () => {
  it('draws restores, some in series, the same for the same seed', () => {
    const faults = planRestoreFaults(7, 120_000);
    expect(faults).toEqual(planRestoreFaults(7, 120_000));
    const gaps = faults
      .slice(1)
      .map(
        ({atMs}, index) => atMs - faults[index]!.atMs - faults[index]!.forMs,
      );
    expect(gaps.some((gapMs) => gapMs < 500)).toBe(true);
    expect(gaps.some((gapMs) => gapMs > 2_000)).toBe(true);
  });
});

describe('planSheddingFaults', () => {
  it('plans kills and stops of entries while endpoints reject', () => {
    const faults = planSheddingFaults(7, 60_000);
    expect(faults).toEqual(planSheddingFaults(7, 60_000));
    const kinds = new Set(faults.map(({what}) => what.kind));
    expect([...kinds].sort()).toEqual([
      'allEntriesKilled',
      'endpointsShed',
      'entryKilled',
      'entryStopped',
    ]);
  });
});

describe('planSilentFaults', () => {
  it('plans endpoints that get late what was sent to them, the same for the same seed', () => {
    const faults = planSilentFaults(7, 120_000);
    expect(faults).toEqual(planSilentFaults(7, 120_000));
    const kinds = new Set(faults.map(({what}) => what.kind));
    expect([...kinds].sort()).toEqual([
      'endpointsShed',
      'engineLink',
      'entryKilled',
      'entryStopped',
      'serviceLink',
    ]);
  });
});

describe('planAnswerFaults', () => {
  it('draws announcements and restarts of entries, the same for the same seed', () => {
    const faults = planAnswerFaults(7, 60_000);
    expect(faults).toEqual(planAnswerFaults(7, 60_000));
    const kinds = new Set(faults.map(({what}) => what.kind));
    expect([...kinds].sort()).toEqual([
      'endpointAsksRest',
      'endpointNamesRate',
      'endpointSaysLeave',
      'entryKilled',
      'entryStopped',
    ]);
  });
});

describe('planBulkFaults', () => {
  it('plans configuration changes and leaves, the same for the same seed', () => {
    const faults = planBulkFaults(7, 10_000);
    expect(faults).toEqual(planBulkFaults(7, 10_000));
    const kinds = new Set(faults.map(({what}) => what.kind));
    expect([...kinds].sort()).toEqual(['configChange', 'serviceLeaves']);
  });
});

describe('planCombinedFaults', () => {
  it('plans each kind of round, the same for the same seed', () => {
    const faults = planCombinedFaults(7, COMBINED_MS);
    expect(faults).toEqual(planCombinedFaults(7, COMBINED_MS));
    expect(faults).toHaveLength(10);
  });
});

describe('the real programs under faults', () => {
  beforeAll(() => {
    execFileSync(process.execPath, ['scripts/bundle.mjs'], {cwd: root});
  });

  it(
    'keep the guarantees to callers',
    async () => {
      const verdict = await runSoak({
        seed: 11,
        durationMs: DURATION_MS,
        processes: 8,
        print: () => {},
      });
      expect(verdict.violations).toEqual([]);
      expect(verdict.good).toBeGreaterThan(100);
    },
    RUN_TIMEOUT_MS,
  );

  it(
    'keep the guarantees while endpoints restart and registrations are malformed',
    async () => {
      const verdict = await runSoak({
        seed: 21,
        durationMs: DURATION_MS,
        processes: 8,
        hasIdentityFaults: true,
        print: () => {},
      });
      expect(verdict.violations).toEqual([]);
      expect(verdict.good).toBeGreaterThan(100);
    },
    RUN_TIMEOUT_MS,
  );

  it(
    'send no late work to evacuated zones',
    async () => {
      const verdict = await runSoak({
        seed: 41,
        durationMs: DURATION_MS,
        processes: 8,
        hasZoneFaults: true,
        print: () => {},
      });
      expect(verdict.violations).toEqual([]);
      expect(verdict.good).toBeGreaterThan(100);
    },
    RUN_TIMEOUT_MS,
  );

  it.each([
    ['a request that crashes each engine that runs it', 'alike'],
    ['requests with a part that crashes each engine', 'withPart'],
  ] as const)(
    'quarantine %s',
    async (_name, crashing) => {
      const verdict = await runSoak({
        seed: 51,
        durationMs: DURATION_MS,
        processes: 8,
        crashing,
        print: () => {},
      });
      expect(verdict.violations).toEqual([]);
      expect(verdict.deadlyEnds).toBeGreaterThan(0);
      expect(verdict.good).toBeGreaterThan(100);
    },
    RUN_TIMEOUT_MS,
  );

  it(
    'send no late work to endpoints that leave while a large configuration changes',
    async () => {
      const verdict = await runSoak({
        seed: 32,
        durationMs: DURATION_MS,
        processes: 8,
        hasLargeConfig: true,
        print: () => {},
      });
      expect(verdict.violations).toEqual([]);
      expect(verdict.good).toBeGreaterThan(100);
    },
    RUN_TIMEOUT_MS,
  );

  it(
    'abort work for callers that disconnected',
    async () => {
      const verdict = await runSoak({
        seed: 81,
        durationMs: DURATION_MS,
        processes: 8,
        hasLeavingCaller: true,
        print: () => {},
      });
      expect(verdict.violations).toEqual([]);
      expect(verdict.callersLeft).toBeGreaterThan(10);
      expect(verdict.good).toBeGreaterThan(100);
    },
    RUN_TIMEOUT_MS,
  );

  // Guards against restarted entries that count retries from zero and so exceed the shared budget.
  it(
    'keep retries within the shared budget while entries restart',
    async () => {
      const verdict = await runSoak({
        seed: 61,
        durationMs: DURATION_MS,
        processes: 8,
        hasShedding: true,
        print: () => {},
      });
      expect(verdict.violations).toEqual([]);
      expect(verdict.repeats).toBeGreaterThan(0);
      expect(verdict.good).toBeGreaterThan(100);
    },
    RUN_TIMEOUT_MS,
  );

  // Guards against sends that arrive late, beside the retries of another window.
  it(
    'keep their guarantees while endpoints get late what was sent to them',
    async () => {
      const verdict = await runSoak({
        seed: 131,
        durationMs: DURATION_MS,
        processes: 8,
        hasSilences: true,
        print: () => {},
      });
      expect(verdict.violations).toEqual([]);
      expect(verdict.repeats).toBeGreaterThan(0);
      expect(verdict.good).toBeGreaterThan(100);
    },
    RUN_TIMEOUT_MS,
  );

  // Guards against versions and leaves behind silent connections, pieces of resumed streams that
  // come twice, and quarantines that a start of all entries forgets.
  it(
    'keep the guarantees under combined faults of connections, engines, the store and entries',
    async () => {
      const verdict = await runSoak({
        seed: 2,
        durationMs: COMBINED_MS,
        processes: 8,
        hasCombinedFaults: true,
        crashing: 'withPart',
        print: () => {},
      });
      expect(verdict.violations).toEqual([]);
      expect(verdict.deadlyEnds).toBeGreaterThan(0);
      expect(verdict.good).toBeGreaterThan(100);
    },
    2 * RUN_TIMEOUT_MS,
  );

  // Guards against entries that take what a restored store has for the latest state.
  it(
    'keep the guarantees while the store is restored from older copies',
    async () => {
      const verdict = await runSoak({
        seed: 101,
        durationMs: DURATION_MS,
        processes: 8,
        hasRestores: true,
        hasZoneFaults: true,
        print: () => {},
      });
      expect(verdict.violations).toEqual([]);
      expect(verdict.good).toBeGreaterThan(100);
    },
    RUN_TIMEOUT_MS,
  );

  // Guards against entries that ignore the limits, leaves and backoffs that endpoints announce.
  it(
    'respect what endpoints announce in answers',
    async () => {
      const verdict = await runSoak({
        seed: 91,
        durationMs: DURATION_MS,
        processes: 8,
        hasStatements: true,
        print: () => {},
      });
      expect(verdict.violations).toEqual([]);
      expect(verdict.limited).toBeGreaterThan(0);
      expect(verdict.atLeaving).toBeGreaterThan(0);
      expect(verdict.rests).toBeGreaterThan(0);
      expect(verdict.good).toBeGreaterThan(100);
    },
    RUN_TIMEOUT_MS,
  );

  // Guards against processes that end for their memory, or as a port is taken at their start.
  it(
    'keep running beside large unfinished bodies, and while ports are taken',
    async () => {
      const verdict = await runSoak({
        seed: 111,
        durationMs: DURATION_MS,
        processes: 8,
        hasUploads: true,
        print: () => {},
      });
      expect(verdict.violations).toEqual([]);
      expect(verdict.takenPorts).toBeGreaterThan(0);
      expect(verdict.good).toBeGreaterThan(100);
    },
    RUN_TIMEOUT_MS,
  );
});
