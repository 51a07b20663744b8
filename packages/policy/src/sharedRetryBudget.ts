import type {Clock} from '@lilacledge/shared';
import {RepeatUse} from './repeatUse.js';
import type {RepeatPart} from './repeatUse.js';

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
 * This entry's part of the budget for sends beyond the first, for one service: what its requests
 * allow by the ratio, and an equal part of the slack, so that no call is needed to agree.
 *
 * Answers the pattern of a retry storm, also when entries start anew in the midst of it: the
 * part belongs to the entry and not to the life of its process. What former lives were asked
 * for and sent counts as the others remember it, and until they have told, nothing is repeated.
 */
export class SharedRetryBudget {
  private readonly own: RepeatUse;
  /** The use of other entries, by name. */
  private readonly others = new Map<string, RepeatUse>();

  constructor(
    private readonly allowance: RetryAllowance,
    private readonly sharing: BudgetSharing,
    private readonly clock: Pick<Clock, 'nowMs'>,
    /** Hears of what has changed, before a repeat is sent. */
    private readonly onTake: (parts: readonly RepeatPart[]) => void = () => {},
  ) {
    this.own = this.emptyUse();
  }

  noteRequest(): void {
    this.sharing.noteEntries();
    this.own.noteRequest(this.sharing.life, this.clock.nowMs());
  }

  /** True while a repeat could be taken. */
  get hasRoom(): boolean {
    return this.used + 1 <= this.allowed;
  }

  /** Takes one repeat from the budget; false when it is used up. */
  tryTake(): boolean {
    return this.hasRoom && this.take();
  }

  /**
   * Takes the send by which a generation goes on at another endpoint, as a stream that has begun
   * is lost without: also where nobody hears of it, and beyond its own part what the entries
   * that it hears from have left.
   */
  tryContinue(): boolean {
    const isOwn = this.used + 1 <= this.earned + this.ownSlack;
    return (isOwn || this.hasSharedRoom) && this.take();
  }

  get used(): number {
    return this.own.repeats(this.clock.nowMs());
  }

  /** What repeats may use. */
  get allowed(): number {
    if (!this.sharing.isFormerUseKnown()) return 0;
    return this.earned + (this.isHeard ? this.ownSlack : 0);
  }

  /** What this entry was asked for and sent, over its lives. */
  get ownParts(): RepeatPart[] {
    return this.own.all(this.clock.nowMs());
  }

  /** The same of another entry, as far as it told. */
  partsOf(instance: string): RepeatPart[] {
    return this.others.get(instance)?.all(this.clock.nowMs()) ?? [];
  }

  /** Others remember former lives of this entry; false when that was known. */
  noteFormer(parts: readonly RepeatPart[]): boolean {
    return this.own.merge(parts, this.clock.nowMs());
  }

  /** Another entry tells what it was asked for and sent. */
  noteOther(instance: string, parts: readonly RepeatPart[]): void {
    const known = this.others.get(instance) ?? this.emptyUse();
    this.others.set(instance, known);
    known.merge(parts, this.clock.nowMs());
  }

  /** Nothing of what this entry told is of use any more. */
  forgetOther(instance: string): void {
    this.others.delete(instance);
  }

  private emptyUse(): RepeatUse {
    return new RepeatUse({
      requestsMs: () => this.allowance.retryWindowMs,
      repeatsMs: () => countedForMs(this.allowance),
    });
  }

  private take(): true {
    const nowMs = this.clock.nowMs();
    this.own.noteRepeat(this.sharing.life, nowMs);
    this.onTake(this.own.takeUntold(nowMs));
    return true;
  }

  /** What nobody hears of would be taken again by the next life of this entry. */
  private get isHeard(): boolean {
    const {sharing} = this;
    return sharing.entryCount() === 1 || sharing.tellingEntries().length > 0;
  }

  /** What the requests of this entry allow. */
  private get earned(): number {
    return this.earnedBy(this.own.requests(this.clock.nowMs()));
  }

  private get ownSlack(): number {
    if (!this.sharing.isFormerUseKnown()) return 0;
    const {retrySlack} = this.allowance;
    return (retrySlack / this.sharing.entryCount()) * REPEAT_SHARE;
  }

  /** Whether this entry and those that it hears from have some of their parts left. */
  private get hasSharedRoom(): boolean {
    const {allowance, sharing} = this;
    if (!sharing.isFormerUseKnown()) return false;
    const nowMs = this.clock.nowMs();
    const telling = sharing.tellingEntries();
    const uses = telling
      .map((instance) => this.others.get(instance))
      .filter((use) => use !== undefined);
    let used = this.used;
    let requests = this.own.requests(nowMs);
    for (const use of uses) {
      used += use.repeats(nowMs);
      requests += use.requests(nowMs);
    }
    const parts = Math.min(1, (telling.length + 1) / sharing.entryCount());
    const slack = allowance.retrySlack * parts * CONTINUATION_SHARE;
    return used + 1 <= this.earnedBy(requests) + slack;
  }

  private earnedBy(requests: number): number {
    return this.allowance.retryRatio * requests * REPEAT_SHARE;
  }
}
