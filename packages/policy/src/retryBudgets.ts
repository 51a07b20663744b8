import type {Clock} from '@lilacledge/shared';
import {countedForMs, SharedRetryBudget} from './sharedRetryBudget.js';
import type {BudgetSharing, RetryAllowance} from './sharedRetryBudget.js';
import {SharerCount} from './sharerCount.js';
import type {Sharers} from './sharerCount.js';
import type {RepeatPart} from './repeatUse.js';

/**
 * An entry that others have not heard for longer than this before it starts may have gone on
 * unheard: what they remember of it may be too little.
 */
const LONGEST_UNHEARD_MS = 3_000;

/** What an entry was asked for and repeated for one service. */
export interface RetryUse {
  readonly service: string;
  readonly parts: readonly RepeatPart[];
}

/** What an entry was asked for and repeated, as it tells others. */
export interface ToldUse {
  /** Names the life of its process. */
  readonly life: string;
  /** False where more than that may have been taken in former lives. */
  readonly isComplete: boolean;
  readonly uses: readonly RetryUse[];
}

/** What another entry remembers of the former lives of an entry. */
export interface FormerUse {
  /** How long ago the former life was heard last. */
  readonly heardAgoMs: number;
  /** The most entries that the teller saw in the window. */
  readonly entryCount: number;
  /** False where more than that may have been taken. */
  readonly isComplete: boolean;
  readonly uses: readonly RetryUse[];
}

/** The life of this process. */
export interface OwnLife {
  readonly life: string;
  /** True where nothing of the deployment was there before, so that there is no former life. */
  readonly isFirst: boolean;
}

/** The newest life of another entry, as far as it told of itself. */
interface Other {
  readonly life: string;
  isComplete: boolean;
  heardAtMs: number;
  isTelling: boolean;
}

type UseListener = (told: ToldUse) => void;

/**
 * The retry budgets of one entry for all services, and what it and the others remember of
 * one another. Each tells those that it is linked to what it was asked for and repeats, before
 * the send; when it starts anew, they tell it what its former life had told.
 */
export class RetryBudgets {
  private readonly budgets = new Map<string, SharedRetryBudget>();
  private readonly others = new Map<string, Other>();
  private readonly listeners: UseListener[] = [];
  private readonly sharers: SharerCount;
  private readonly startedAtMs: number;
  private isFormerTold: boolean;

  constructor(
    private readonly own: OwnLife,
    private readonly allowance: RetryAllowance,
    sharers: Sharers,
    private readonly clock: Pick<Clock, 'nowMs'>,
  ) {
    const windowMs = (): number => allowance.retryWindowMs;
    this.sharers = new SharerCount(sharers, windowMs, clock);
    this.startedAtMs = clock.nowMs();
    this.isFormerTold = own.isFirst;
  }

  of(service: string): SharedRetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const added = new SharedRetryBudget(
      this.allowance,
      this.sharing(),
      this.clock,
      (parts) => this.tell([{service, parts}]),
    );
    this.budgets.set(service, added);
    return added;
  }

  /** Calls `listener` with what others should know, before each repeat. */
  onNews(listener: UseListener): void {
    this.listeners.push(listener);
  }

  /** Sends beyond the first in the window, for all services. */
  get used(): number {
    let used = 0;
    for (const budget of this.budgets.values()) used += budget.used;
    return used;
  }

  /** The most entries that were seen in the window. */
  get entryCount(): number {
    return this.sharers.most;
  }

  /** Entries came or went. */
  noteEntries(): void {
    this.sharers.noteNow();
  }

  /** All that this entry was asked for and repeated, over its lives. */
  get ownUse(): ToldUse {
    return this.toTell(this.usesBy((budget) => budget.ownParts));
  }

  /**
   * Another entry tells what it took; over each link first all of it. Returns what it should
   * know of its former life, if that was told here.
   */
  noteTold(instance: string, told: ToldUse): FormerUse | undefined {
    this.forgetOld();
    const known = this.others.get(instance);
    const isAnew = known !== undefined && known.life !== told.life;
    const former = isAnew ? this.formerUse(instance, known) : undefined;
    const {life, isComplete} = told;
    const heardAtMs = this.nowMs;
    this.others.set(instance, {life, isComplete, heardAtMs, isTelling: true});
    for (const {service, parts} of told.uses) {
      this.of(service).noteOther(instance, parts);
    }
    return former;
  }

  /** Another entry is there; before it has told what it took, this says nothing of its life. */
  noteHeard(instance: string): void {
    const other = this.others.get(instance);
    if (other?.isTelling) other.heardAtMs = this.nowMs;
  }

  /** Another entry cannot tell any more. */
  noteUnheard(instance: string): void {
    const other = this.others.get(instance);
    if (other !== undefined) other.isTelling = false;
  }

  /** Another entry tells what it remembers of the former lives of this one. */
  noteFormer({heardAgoMs, entryCount, isComplete, uses}: FormerUse): void {
    this.sharers.note(entryCount);
    const news = uses.filter(({service, parts}) =>
      this.of(service).noteFormer(parts),
    );
    const unheardMs = heardAgoMs - this.ageMs;
    const isTold = isComplete && unheardMs <= LONGEST_UNHEARD_MS;
    const wasKnown = this.isFormerUseKnown;
    this.isFormerTold ||= isTold;
    // Those that are linked already were told of less.
    if (news.length > 0 || wasKnown !== this.isFormerUseKnown) this.tell(news);
  }

  private get nowMs(): number {
    return this.clock.nowMs();
  }

  private get ageMs(): number {
    return this.nowMs - this.startedAtMs;
  }

  private formerUse(instance: string, known: Other): FormerUse {
    return {
      heardAgoMs: this.nowMs - known.heardAtMs,
      entryCount: this.entryCount,
      isComplete: known.isComplete,
      uses: this.usesBy((budget) => budget.partsOf(instance)),
    };
  }

  private sharing(): BudgetSharing {
    return {
      life: this.own.life,
      isFormerUseKnown: () => this.isFormerUseKnown,
      noteEntries: () => this.noteEntries(),
      entryCount: () => this.entryCount,
      tellingEntries: () => this.tellingEntries,
    };
  }

  /** What nobody told of does not count any more after a window. */
  get isFormerUseKnown(): boolean {
    return this.isFormerTold || this.ageMs > countedForMs(this.allowance);
  }

  private get tellingEntries(): string[] {
    return [...this.others]
      .filter(([, {isTelling}]) => isTelling)
      .map(([instance]) => instance);
  }

  private usesBy(
    partsOf: (budget: SharedRetryBudget) => RepeatPart[],
  ): RetryUse[] {
    return [...this.budgets]
      .map(([service, budget]) => ({service, parts: partsOf(budget)}))
      .filter(({parts}) => parts.length > 0);
  }

  private tell(uses: readonly RetryUse[]): void {
    for (const listener of this.listeners) listener(this.toTell(uses));
  }

  private toTell(uses: readonly RetryUse[]): ToldUse {
    const {life} = this.own;
    return {life, isComplete: this.isFormerUseKnown, uses};
  }

  /** Drops entries that were not heard for as long as what they took counts. */
  private forgetOld(): void {
    const oldestMs = this.nowMs - countedForMs(this.allowance);
    for (const [instance, {heardAtMs, isTelling}] of this.others) {
      if (isTelling || heardAtMs >= oldestMs) continue;
      this.others.delete(instance);
      for (const budget of this.budgets.values()) budget.forgetOther(instance);
    }
  }
}
