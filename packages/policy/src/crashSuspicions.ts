import type {Clock} from '@lilacledge/shared';
import {toCommonFeatures} from './commonFeatures.js';
import {CrashedLives} from './crashedLives.js';
import {CrashedPrompts} from './crashedPrompts.js';
import {CrashJudge} from './crashJudge.js';
import {CrashRecords} from './crashRecords.js';
import {isPart} from './crashReports.js';
import type {CrashReport, Suspicion} from './crashReports.js';
import {FREE, graver, isGrave} from './crashVerdict.js';
import type {CrashVerdict} from './crashVerdict.js';
import {FeatureShares} from './featureShares.js';
import {MAX_RECORDED_PARTS} from './quarantineRules.js';

export {RETENTION_MS} from './quarantineRules.js';

/** Crashes that are recorded for an explanation: enough for a quarantine at any share. */
const MAX_EXPLAINED_CRASHES = 8;

/** What is known of the send of a request under which an endpoint crashed. */
type ReportedSend = Omit<
  CrashReport,
  'company' | 'companyPercents' | 'share' | 'promptParts' | 'knownLives'
>;

/**
 * Tracks what requests that crash endpoints have in common.
 *
 * A query of death crashes each endpoint that runs it; it may be one request that comes again,
 * or a part of prompts that many requests share. Entries exchange grow-only sets of crashes by
 * feature and incarnation, which converge in any order and with any duplicates. A request is
 * refused if it has all features that the requests of enough crashes had in common, and none
 * of these features has been served since the first of the crashes. So requests that share
 * only the harmless features of a query of death are sent, and clear them.
 *
 * Of a prompt with many parts, a crash is recorded under the whole request alone, and
 * `CrashedPrompts` compares its parts with those of the other crashes.
 */
export class CrashSuspicions {
  private readonly prompts = new CrashedPrompts();

  private readonly records: CrashRecords;

  private readonly lives: CrashedLives;

  private readonly judge: CrashJudge;

  private readonly shares: FeatureShares;

  constructor(private readonly clock: Pick<Clock, 'nowMs'>) {
    this.lives = new CrashedLives(clock);
    this.records = new CrashRecords(clock, this.lives, this.prompts);
    this.judge = new CrashJudge(clock, this.lives, this.prompts);
    this.shares = new FeatureShares(clock);
  }

  /** While true, features of requests need not be computed. */
  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  get size(): number {
    return this.records.size;
  }

  /** Everything known, for a process that has just connected. */
  get all(): Suspicion[] {
    return this.records.features.map((feature) => this.get(feature)!);
  }

  /** The features under which requests are quarantined or on trial. */
  get quarantined(): string[] {
    return this.records.features.filter((name) => this.isQuarantined(name));
  }

  /** What is known about a feature; undefined if nothing. */
  get(feature: string): Suspicion | undefined {
    return this.records.get(feature);
  }

  /** The verdict on a request with these features. */
  verdict(features: readonly string[]): CrashVerdict {
    let gravest = FREE;
    const names = new Set(features);
    for (const feature of features) {
      const common = this.records.commonFeaturesOf(feature);
      if (common === undefined) continue;
      const isCovered = common.features.every((name) => names.has(name));
      if (isCovered) gravest = graver(gravest, this.judge.verdictOn(common));
    }
    for (const explanation of this.prompts.explanationsIn(features)) {
      gravest = graver(gravest, this.judge.verdictOnExplanation(explanation));
    }
    return gravest;
  }

  /** True if requests with the feature and its usual company are quarantined or on trial. */
  isQuarantined(feature: string): boolean {
    const common = this.records.commonFeaturesOf(feature);
    if (common === undefined) return false;
    return isGrave(this.judge.verdictOn(common));
  }

  /** The crashes for which a feature is quarantined, with what their requests had in common. */
  quarantineEvidence(feature: string): Suspicion | undefined {
    if (!this.isQuarantined(feature)) return undefined;
    const {ends, cleared} = this.get(feature)!;
    const {features} = this.records.commonFeaturesOf(feature)!;
    const company = features.filter((name) => name !== feature);
    const uncleared = ends.filter(({life}) => !cleared.includes(life));
    const evidence = uncleared.map((end) => ({...end, company}));
    return {fingerprint: feature, ends: evidence, cleared: []};
  }

  /** Counts a request; needed only while something is known. */
  noteRequest(service: string, features: readonly string[]): void {
    const counted = isLong(features)
      ? features.filter((name) => !isPart(name) || this.prompts.has(name))
      : features;
    this.shares.noteRequest(service, counted);
  }

  /** Records that an endpoint crashed while it had a request; returns what is new. */
  noteCrash(features: readonly string[], crash: ReportedSend): Suspicion[] {
    const promptParts = features.filter(isPart).length;
    const recorded = isLong(features)
      ? features.filter((feature) => !isPart(feature))
      : features;
    const sentAtMs = this.clock.nowMs() - crash.sentAgoMs;
    const knownLives = this.lives.knownAt(sentAtMs);
    return recorded.flatMap((feature) => {
      const company = features.filter((other) => other !== feature);
      const share = this.shares.shareOf(feature);
      const companyPercents = isPart(feature)
        ? undefined
        : company.map((name) => Math.round(this.shares.shareOf(name) * 100));
      const end = {...crash, company, share, promptParts, companyPercents};
      const ends = [{...end, knownLives}];
      return this.merge({fingerprint: feature, ends, cleared: []}) ?? [];
    });
  }

  /** Clears the features of their crashes, as a request was served; returns what is new. */
  noteServed(features: readonly string[]): Suspicion[] {
    const recorded = features.filter((feature) => this.records.has(feature));
    const cleared = recorded.flatMap((feature) => {
      const lives = this.records.livesOf(feature);
      const change = {fingerprint: feature, ends: [], cleared: lives};
      return this.merge(change) ?? [];
    });
    const shrunk = this.prompts.removeServed(features);
    return [
      ...cleared,
      ...shrunk.flatMap(({request, life, parts}) =>
        this.shrink(request, life, parts),
      ),
    ];
  }

  /** Records which parts of a prompt may still be the cause; returns what is new. */
  private shrink(
    request: string,
    life: string,
    parts: ReadonlyMap<string, number>,
  ): Suspicion[] {
    const report = this.get(request)?.ends.find((end) => end.life === life);
    if (report === undefined) return [];
    const company = [...parts.keys()];
    const companyPercents = [...parts.values()].map((share) =>
      Math.round(share * 100),
    );
    const ends = [{...report, company, companyPercents}];
    return [this.merge({fingerprint: request, ends, cleared: []}) ?? []].flat();
  }

  /** Merges what another process knows; returns what of it is new. */
  merge(suspicion: Suspicion): Suspicion | undefined {
    const news = this.records.merge(suspicion);
    if (news !== undefined) {
      this.records.evict((name) => !this.isQuarantined(name));
    }
    return news;
  }

  /**
   * Records the crashes of long prompts that a quarantine explains under the first of its parts,
   * as for short prompts; returns what is new. To be called when all requests that the crashed
   * endpoint had are known, so that none is blamed that was not the closest.
   */
  explain(request: string): Suspicion[] {
    if (isPart(request)) return [];
    const explanation = this.prompts
      .explanationsOf(request)
      .find((candidate) => isGrave(this.judge.verdictOnExplanation(candidate)));
    if (explanation === undefined) return [];
    const {features, crashes} = toCommonFeatures(explanation);
    const fingerprint = explanation.mostSuspect;
    const company = features.filter((name) => name !== fingerprint);
    const ends = [...crashes]
      .sort((a, b) => b.atMs - a.atMs)
      .slice(0, MAX_EXPLAINED_CRASHES)
      .map((crash) => ({
        ...this.records.reportOf(crash),
        company,
        companyPercents: undefined,
      }));
    return [this.merge({fingerprint, ends, cleared: []}) ?? []].flat();
  }
}

/** True if the crash of a request with these features is not recorded by part. */
function isLong(features: readonly string[]): boolean {
  return features.filter(isPart).length > MAX_RECORDED_PARTS;
}
