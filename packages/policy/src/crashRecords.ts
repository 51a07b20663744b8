import type {Clock} from '@lilacledge/shared';
import type {CommonFeatures} from './commonFeatures.js';
import {MAX_KNOWN_LIVES} from './crashedLives.js';
import type {CrashedLives} from './crashedLives.js';
import type {CrashedPrompts} from './crashedPrompts.js';
import {
  addsEvidence,
  closenessOf,
  isPart,
  mergeCrashes,
} from './crashReports.js';
import type {CrashReport, RecordedCrash, Suspicion} from './crashReports.js';
import {MAX_QUARANTINE_MS, RETENTION_MS} from './quarantineRules.js';

/** Features that are kept. */
const MAX_FEATURES = 1_000;

/** Parts that are kept of the prompts of crashed requests. */
const MAX_PROMPT_PARTS = 50_000;

/** Incarnations that are kept per feature. */
const MAX_INCARNATIONS_PER_FEATURE = 32;

/** Crashes under one feature by incarnation; those that are cleared do not count. */
interface FeatureRecord {
  readonly ends: Map<string, RecordedCrash>;
  readonly cleared: Set<string>;
}

/** Crashes by feature, as grow-only sets that entries exchange. */
export class CrashRecords {
  /** By feature, the most recently changed last. */
  private readonly records = new Map<string, FeatureRecord>();

  constructor(
    private readonly clock: Pick<Clock, 'nowMs'>,
    private readonly lives: CrashedLives,
    private readonly prompts: CrashedPrompts,
  ) {}

  get size(): number {
    return this.records.size;
  }

  /** The features with a record. */
  get features(): string[] {
    return [...this.records.keys()];
  }

  has(feature: string): boolean {
    return this.records.has(feature);
  }

  /** What is known about a feature; undefined if nothing. */
  get(feature: string): Suspicion | undefined {
    const record = this.records.get(feature);
    if (record === undefined) return undefined;
    const ends = [...record.ends.values()].map((crash) => this.reportOf(crash));
    return {fingerprint: feature, ends, cleared: [...record.cleared]};
  }

  /** The incarnations that crashed under a feature. */
  livesOf(feature: string): string[] {
    return [...(this.records.get(feature)?.ends.keys() ?? [])];
  }

  reportOf({atMs, sentAtMs, ...crash}: RecordedCrash): CrashReport {
    const nowMs = this.clock.nowMs();
    return {...crash, agoMs: nowMs - atMs, sentAgoMs: nowMs - sentAtMs};
  }

  /** Merges what a process knows; returns what of it is new. */
  merge({fingerprint, ends, cleared}: Suspicion): Suspicion | undefined {
    const record = this.records.get(fingerprint) ?? {
      ends: new Map<string, RecordedCrash>(),
      cleared: new Set<string>(),
    };
    const newEnds = ends.filter((end) =>
      this.recordCrash(fingerprint, record, end),
    );
    const newlyCleared = cleared.filter((life) => !record.cleared.has(life));
    if (newEnds.length + newlyCleared.length === 0) return undefined;
    for (const life of newlyCleared) record.cleared.add(life);
    if (isPart(fingerprint)) this.prompts.clear(fingerprint, newlyCleared);
    else this.prompts.clearRequest(fingerprint, [...record.cleared]);
    evictOldest(record);
    this.records.delete(fingerprint);
    this.records.set(fingerprint, record);
    return {fingerprint, ends: newEnds, cleared: newlyCleared};
  }

  /** Records a crash; false if nothing of it is new. */
  private recordCrash(
    fingerprint: string,
    {ends}: FeatureRecord,
    received: CrashReport,
  ): boolean {
    // MessagePack decodes undefined as null.
    const report = {
      ...received,
      company: received.company ?? undefined,
      companyPercents: received.companyPercents ?? undefined,
      knownLives: received.knownLives?.slice(-MAX_KNOWN_LIVES),
    };
    const {life, agoMs, company, share, promptParts} = report;
    if (agoMs >= MAX_QUARANTINE_MS + RETENTION_MS) return false;
    const nowMs = this.clock.nowMs();
    const atMs = nowMs - agoMs;
    const known = ends.get(life);
    const hasEarlierTime = known !== undefined && atMs < known.atMs;
    if (known && !hasEarlierTime && !addsEvidence(known, report)) return false;
    const reported: RecordedCrash = {
      life,
      exposure: report.exposure,
      hasEvents: report.hasEvents === true,
      atMs,
      sentAtMs: nowMs - report.sentAgoMs,
      company,
      share: share ?? 0,
      promptParts: promptParts ?? 0,
      companyPercents: report.companyPercents,
      knownLives: report.knownLives,
    };
    ends.set(life, known ? mergeCrashes(known, reported) : reported);
    const isNew = known === undefined || addsEvidence(known, report);
    if (isNew && !isPart(fingerprint)) {
      const crash = ends.get(life)!;
      this.lives.note(crash, fingerprint, closenessOf(crash));
      this.prompts.note(fingerprint, crash);
      for (const part of crash.company ?? []) {
        const isCleared = this.records.get(part)?.cleared.has(life);
        if (isCleared === true) this.prompts.clear(part, [life]);
      }
    }
    return isNew;
  }

  /** What the requests of all uncleared crashes under a feature had in common. */
  commonFeaturesOf(feature: string): CommonFeatures | undefined {
    const record = this.records.get(feature);
    if (record === undefined) return undefined;
    const uncleared = [...record.ends].filter(
      ([life]) => !record.cleared.has(life),
    );
    if (uncleared.length === 0) return undefined;
    const crashes = uncleared.map(([, crash]) => crash);
    // Of a part, an earlier build does not tell which other features its requests had.
    const known = isPart(feature)
      ? crashes.filter(({company}) => company !== undefined)
      : crashes;
    if (known.length === 0) return undefined;
    const shared = known
      .map(({company}) => company ?? [])
      .reduce((common, company) => {
        const names = new Set(company);
        return common.filter((name) => names.has(name));
      });
    const suspects = shared.filter(
      (name) =>
        !uncleared.some(([life]) => this.records.get(name)?.cleared.has(life)),
    );
    return {
      features: [feature, ...suspects],
      isPart: isPart(feature),
      crashes: known,
    };
  }

  /** Evicts expired records and, above the limit, first those that are not quarantined. */
  evict(isUnquarantined: (name: string) => boolean): void {
    const fromMs = this.clock.nowMs() - RETENTION_MS;
    for (const [name, {ends}] of this.records) {
      const isOld = [...ends.values()].every(({atMs}) => atMs <= fromMs);
      // Those behind it have changed later.
      if (!isOld) break;
      if (isUnquarantined(name)) this.forget(name);
    }
    while (this.records.size > MAX_FEATURES) {
      this.forget(firstOfAll([...this.records.keys()], isUnquarantined));
    }
    while (this.prompts.size > MAX_PROMPT_PARTS) {
      const requests = [...this.records.keys()].filter((name) => !isPart(name));
      if (requests.length === 0) break;
      this.forget(firstOfAll(requests, isUnquarantined));
    }
  }

  private forget(feature: string): void {
    if (!isPart(feature)) this.prompts.delete(feature);
    this.records.delete(feature);
  }
}

/** The first name that is preferred, else the first one. */
function firstOfAll(
  names: readonly string[],
  isPreferred: (name: string) => boolean,
): string {
  return names.find(isPreferred) ?? names[0]!;
}

function evictOldest({ends, cleared}: FeatureRecord): void {
  for (const life of [...ends.keys()]) {
    if (ends.size <= MAX_INCARNATIONS_PER_FEATURE) break;
    ends.delete(life);
  }
  for (const life of [...cleared]) {
    if (cleared.size <= MAX_INCARNATIONS_PER_FEATURE) break;
    cleared.delete(life);
  }
}
