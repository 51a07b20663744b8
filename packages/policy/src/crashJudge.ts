import type {Clock} from '@lilacledge/shared';
import {coversLives, toCommonFeatures} from './commonFeatures.js';
import type {CommonFeatures} from './commonFeatures.js';
import {firstName} from './crashedPrompts.js';
import type {CrashedPrompts, Explanation} from './crashedPrompts.js';
import type {CrashedLives} from './crashedLives.js';
import {isPart} from './crashReports.js';
import {FREE, isGrave} from './crashVerdict.js';
import type {CrashVerdict} from './crashVerdict.js';
import {
  countFailedTrials,
  partsRuleAmong,
  quarantineMs,
  REQUEST_RULE,
  RETENTION_MS,
  totalWeight,
} from './quarantineRules.js';

/** Decides whether crashes are enough evidence against what their requests had in common. */
export class CrashJudge {
  constructor(
    private readonly clock: Pick<Clock, 'nowMs'>,
    private readonly lives: CrashedLives,
    private readonly prompts: CrashedPrompts,
  ) {}

  /** The verdict on requests that have all of the features. */
  verdictOn(common: CommonFeatures): CrashVerdict {
    const {features, crashes, otherParts = 0} = common;
    const newestMs = Math.max(...crashes.map(({atMs}) => atMs));
    const ageMs = this.clock.nowMs() - newestMs;
    const isPartOnly = features.every(isPart);
    const rule = isPartOnly ? partsRuleAmong(otherParts) : REQUEST_RULE;
    const failedTrials = countFailedTrials(rule, crashes, (crash) =>
      this.lives.weightOf(crash, common),
    );
    const pauseMs = failedTrials === undefined ? 0 : quarantineMs(failedTrials);
    if (ageMs >= pauseMs + RETENTION_MS) return FREE;
    if (failedTrials === undefined) return {kind: 'suspected'};
    const forMs = pauseMs - ageMs;
    return forMs > 0
      ? {kind: 'quarantined', forMs}
      : {kind: 'onTrial', feature: firstName(features)};
  }

  /** The verdict on requests with the parts, unless others explain the same crashes better. */
  verdictOnExplanation(explanation: Explanation): CrashVerdict {
    const common = toCommonFeatures(explanation);
    const verdict = this.verdictOn(common);
    if (!isGrave(verdict)) return verdict;
    const others = this.prompts.explanations.map(toCommonFeatures);
    const isExplainedAway = others.some(
      (other) =>
        coversLives(other, common) &&
        this.evidenceOf(other) > this.evidenceOf(common) &&
        isGrave(this.verdictOn(other)),
    );
    return isExplainedAway ? {kind: 'suspected'} : verdict;
  }

  private evidenceOf(common: CommonFeatures): number {
    return totalWeight(common.crashes, (crash) =>
      this.lives.weightOf(crash, common),
    );
  }
}
