import type {Clock} from '@lilacledge/shared';
import {SlackUse} from './slackUse.js';
import type {SlackTake} from './slackUse.js';
import {SlidingCount} from './slidingCount.js';

/** Part of the shared allowance that repeats use, as what entries know of one another lags. */
const REPEAT_SHARE = 0.85;

/** The same for generations that go on elsewhere: a stream that has begun is lost without. */
const CONTINUATION_SHARE = 0.95;

/** A send may arrive this much later than it was taken: no connection takes longer. */
const ARRIVAL_MARGIN_MS = 250;

/** What all entries together may send to a second endpoint. */
export interface RetryAllowance {
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Free sends in a window, over all entries. */
  readonly retrySlack: number;
}

/** What a budget needs to know of this entry and of the others. */
export interface BudgetSharing {
  /** Names the life of this process. */
  readonly life: string;
  /** False while a former life of this entry may have taken what is not known here. */
  isFormerUseKnown(): boolean;
  /** Takes note of the entries that are seen now. */
  noteEntries(): void;
  /** The most entries that were seen in the window. */
  entryCount(): number;
  /** Entries that tell this one what they take. */
  tellingEntries(): readonly string[];
}

/** How long a send counts. */
export function countedForMs({retryWindowMs}: RetryAllowance): number {
  return retryWindowMs + ARRIVAL_MARGIN_MS;
}

/**
 * This entry's part of the budget for sends beyond the first, for one service. What its own
 * requests allow by the ratio is its own; of the slack it has an equal part, so that no call
 * is needed to agree.
 *
 * Answers the pattern of a retry storm, also when entries start anew in the midst of it: the
 * part belongs to the entry and not to the life of its process. What former lives took counts
 * as the others remember it, and until they have told, no part of the slack is taken.
 */
export class SharedRetryBudget {
  private readonly requests = new SlidingCount();
  private readonly earned = new SlidingCount();
  private readonly slack: SlackUse;
  /** What other entries took from their parts of the slack, by name. */
  private readonly others = new Map<string, SlackUse>();

  constructor(
    private readonly allowance: RetryAllowance,
    private readonly sharing: BudgetSharing,
    private readonly clock: Pick<Clock, 'nowMs'>,
    /** Hears of each send that is taken from the slack, before it is made. */
    private readonly onTake: (take: SlackTake) => void = () => {},
  ) {
    this.slack = this.emptyUse();
  }

  noteRequest(): void {
    this.sharing.noteEntries();
    this.requests.note(this.clock.nowMs());
  }

  /** True while a repeat could be taken. */
  get hasRoom(): boolean {
    return this.hasEarned || this.hasSlack;
  }

  /** Takes one repeat from the budget; false when it is used up. */
  tryTake(): boolean {
    if (this.hasEarned) return this.takeEarned();
    if (this.hasSlack) return this.takeSlack();
    return false;
  }

  /**
   * Takes the send by which a generation goes on at another endpoint, as a stream that has begun
   * is lost without: also where nobody hears of it, and beyond its own part what the entries
   * that it hears from have left.
   */
  tryContinue(): boolean {
    if (this.hasEarned) return this.takeEarned();
    if (this.hasOwnSlack || this.hasSharedSlack) return this.takeSlack();
    return false;
  }

  get used(): number {
    return this.earnedUsed + this.slackUsed;
  }

  get allowed(): number {
    const hasPart = this.isHeard && this.sharing.isFormerUseKnown();
    const slack = hasPart ? this.ownSlack : 0;
    return this.earnedAllowed + slack;
  }

  /** What this entry took from the slack, over its lives. */
  get slackTakes(): SlackTake[] {
    return this.slack.takes(this.clock.nowMs());
  }

  /** What another entry took from the slack, as far as it told. */
  slackTakesOf(instance: string): SlackTake[] {
    return this.others.get(instance)?.takes(this.clock.nowMs()) ?? [];
  }

  /** Others remember what former lives of this entry took; false when it was known. */
  noteFormer(takes: readonly SlackTake[]): boolean {
    return this.slack.merge(takes, this.clock.nowMs());
  }

  /** Another entry tells what it took. */
  noteOther(instance: string, takes: readonly SlackTake[]): void {
    const known = this.others.get(instance) ?? this.emptyUse();
    this.others.set(instance, known);
    known.merge(takes, this.clock.nowMs());
  }

  /** Nothing of what this entry took is of use any more. */
  forgetOther(instance: string): void {
    this.others.delete(instance);
  }

  private emptyUse(): SlackUse {
    return new SlackUse(() => countedForMs(this.allowance));
  }

  private get hasEarned(): boolean {
    return this.earnedUsed + 1 <= this.earnedAllowed;
  }

  private get hasSlack(): boolean {
    return this.isHeard && this.hasOwnSlack;
  }

  private get hasOwnSlack(): boolean {
    if (!this.sharing.isFormerUseKnown()) return false;
    return this.slackUsed + 1 <= this.ownSlack;
  }

  /** What nobody hears of would be taken again by the next life of this entry. */
  private get isHeard(): boolean {
    const {sharing} = this;
    return sharing.entryCount() === 1 || sharing.tellingEntries().length > 0;
  }

  /** Whether this entry and those that it hears from have some of their parts left. */
  private get hasSharedSlack(): boolean {
    if (!this.sharing.isFormerUseKnown()) return false;
    const nowMs = this.clock.nowMs();
    const telling = this.sharing.tellingEntries();
    let used = this.slackUsed;
    for (const instance of telling) {
      used += this.others.get(instance)?.sum(nowMs) ?? 0;
    }
    const parts = Math.min(1, (telling.length + 1) / this.sharing.entryCount());
    const shared = this.allowance.retrySlack * parts * CONTINUATION_SHARE;
    return used + 1 <= shared;
  }

  private takeEarned(): true {
    this.earned.note(this.clock.nowMs());
    return true;
  }

  private takeSlack(): true {
    this.onTake(this.slack.note(this.sharing.life, this.clock.nowMs()));
    return true;
  }

  private get earnedUsed(): number {
    const nowMs = this.clock.nowMs();
    return this.earned.covering(nowMs, countedForMs(this.allowance));
  }

  private get earnedAllowed(): number {
    const {retryRatio, retryWindowMs} = this.allowance;
    const requests = this.requests.within(this.clock.nowMs(), retryWindowMs);
    return retryRatio * requests * REPEAT_SHARE;
  }

  private get slackUsed(): number {
    return this.slack.sum(this.clock.nowMs());
  }

  private get ownSlack(): number {
    const {retrySlack} = this.allowance;
    return (retrySlack / this.sharing.entryCount()) * REPEAT_SHARE;
  }
}
