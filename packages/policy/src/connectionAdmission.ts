/**
 * Decides which new connections an entry takes, from the use of its event loop and its link.
 *
 * Requests that are read beyond what the entry can serve make all others late, while a caller
 * whose connection is closed unread can try another entry at once.
 */

/** Use of an entry's event loop and link between two measurements. */
export interface EntryUse {
  readonly forMs: number;
  /** Share of the time in which the event loop was in use, 0 to 1. */
  readonly utilisation: number;
  /** Share of the bandwidth of the link that was handed to it; above 1 for a large answer. */
  readonly linkUtilisation: number;
}

/** Time over which the use is averaged; longer than the period of a processor quota. */
const AVERAGING_MS = 200;

/**
 * Longest span for which one measurement counts, so that a suspension of the process, which
 * looks like a single long use, is not taken for a saturation.
 */
const MAX_SAMPLE_MS = 150;

/** Time over which the rate of connections is averaged beside that, as callers come in groups. */
const RATE_AVERAGING_MS = 1_000;

/** Average use from which on the entry may be saturated. */
const SATURATED_UTILISATION = 0.95;

/** The entry is saturated once it was in full use for this long. */
const FULL_USE_MS = 100;

/**
 * The same while most other entries are saturated too: a caller that is sent away then meets
 * the next full entry, so that a short wait serves it better.
 */
const SHARED_FULL_USE_MS = 3_000;

/** From this share of saturated entries on, most callers that are sent away meet one. */
const MOST_ENTRIES_SHARE = 0.5;

/**
 * A limit that has acted for less than this is lifted once most other entries are saturated, as
 * their notices may still have been on their way when it began. Later they are saturated by
 * the callers that were sent to them.
 */
const NOTICES_SETTLE_MS = 1_000;

/** Use that the limit leads to; the rest absorbs bursts. */
const TARGET_UTILISATION = 0.75;

/** The same while most other entries are saturated too, as nobody has room for those sent away. */
const SHARED_TARGET_UTILISATION = 0.85;

/** Use from which on answers end connections, as the limit acts on new ones alone. */
const RELEASING_UTILISATION = 0.9;

/** First limit, as a share of the rate that led to the saturation. */
const FIRST_LIMIT_SHARE = 0.7;

/** Relative change of the limit in a second, per relative distance of the use from its target. */
const GAIN_PER_S = 2;

/** Relative decrease of the limit in a second while the entry is saturated. */
const SATURATED_DECREASE_PER_S = 2.5;

/** The same while most other entries are saturated too. */
const SHARED_DECREASE_PER_S = 1.5;

/**
 * An entry to which fewer connections come than this share of those that saturated it works off
 * what it has taken, and needs no limit for that.
 */
const CONTINUED_RATE_SHARE = 0.8;

/**
 * From this share on of the limit at the last saturation, the limit grows slowly. A process
 * that is held to a quota shows little use until it is saturated.
 */
const CAUTIOUS_SHARE = 0.8;

/** Saturations that are further apart are separate ones. */
const ONSET_GAP_MS = 500;

/** Relative growth of such a limit in a second, for each second since that saturation. */
const CAUTIOUS_GROWTH_PER_S = 0.04;

/** An entry always takes some connections: they show when it can serve again. */
const MIN_LIMIT_PER_S = 3;

/** Time for whose connections permits are saved up; callers arrive in groups. */
const PERMIT_SPAN_MS = 200;

/** The limit ends once no connection was refused for this long. */
const RELIEF_MS = 1_000;

/** Limits the rate of new connections while the entry would otherwise be saturated. */
export class ConnectionAdmission {
  private averageUse = 0;
  private averageLinkUse = 0;
  /** Since when the entry is in full use; undefined while it is not. */
  private fullSinceMs: number | undefined;
  private averageRatePerS = 0;
  private lastSecondRatePerS = 0;
  /** Connections taken since the entry is in full use. */
  private takenAtFullUse = 0;
  private admittedSinceSample = 0;
  private limit: number | undefined;
  private limitedSinceMs = 0;
  private wasSaturated = false;
  private areOthersSaturated = false;
  /** Limit at the last saturation, and when that was. */
  private saturatingLimit = Number.POSITIVE_INFINITY;
  private saturatedAtMs = 0;
  private permits = 0;
  private permitsAtMs = 0;
  private lastRefusalMs = 0;
  /** Connections that are due to be ended with their next answers. */
  private releases = 0;

  /** The limit in connections a second; undefined while all are admitted. */
  get limitPerS(): number | undefined {
    return this.limit;
  }

  /** True from a saturation until the use is below its target. */
  get isSaturated(): boolean {
    return this.limit !== undefined || this.wasSaturated;
  }

  /** Returns whether to take a connection that arrives now. */
  admit(nowMs: number): boolean {
    if (!this.takePermit(nowMs)) {
      this.lastRefusalMs = nowMs;
      return false;
    }
    this.admittedSinceSample++;
    return true;
  }

  /**
   * Returns whether an answer ends its connection, so that its caller goes to another entry: the
   * more often the less of the entry is free. A caller that would come back costs more than one
   * that stays.
   */
  takeRelease(): boolean {
    if (this.limit === undefined || this.areOthersSaturated) return false;
    const excess = this.bottleneckUse - RELEASING_UTILISATION;
    this.releases += Math.max(0, excess / (1 - RELEASING_UTILISATION));
    if (this.releases < 1) return false;
    this.releases--;
    return true;
  }

  /**
   * Notes the use since the last measurement, and adapts the limit.
   *
   * @param saturatedShare share of the other entries that are saturated, 0 to 1.
   */
  noteUse(use: EntryUse, nowMs: number, saturatedShare = 0): void {
    const {forMs, utilisation, linkUtilisation} = use;
    if (forMs <= 0) return;
    const countedMs = Math.min(forMs, MAX_SAMPLE_MS);
    const weight = 1 - Math.exp(-countedMs / AVERAGING_MS);
    const taken = this.admittedSinceSample;
    const ratePerS = (taken * 1_000) / forMs;
    this.admittedSinceSample = 0;
    this.averageUse += weight * (utilisation - this.averageUse);
    const linkUse = Math.min(1, linkUtilisation);
    this.averageLinkUse += weight * (linkUse - this.averageLinkUse);
    this.averageRatePerS += weight * (ratePerS - this.averageRatePerS);
    const lastSecondWeight = 1 - Math.exp(-countedMs / RATE_AVERAGING_MS);
    this.lastSecondRatePerS +=
      lastSecondWeight * (ratePerS - this.lastSecondRatePerS);
    this.noteOthers(saturatedShare, nowMs);
    this.noteFullUse(nowMs, taken);
    if (this.limit === undefined) this.startIfSaturated(nowMs);
    else this.adapt(this.limit, countedMs, nowMs);
  }

  private get bottleneckUse(): number {
    return Math.max(this.averageUse, this.averageLinkUse);
  }

  /** Lifts a new limit that sends callers to entries that were saturated before it began. */
  private noteOthers(saturatedShare: number, nowMs: number): void {
    const areSaturated = saturatedShare > MOST_ENTRIES_SHARE;
    const isNew = nowMs - this.limitedSinceMs < NOTICES_SETTLE_MS;
    if (areSaturated && !this.areOthersSaturated && isNew) {
      this.limit = undefined;
    }
    this.areOthersSaturated = areSaturated;
  }

  private noteFullUse(nowMs: number, taken: number): void {
    const isFull = this.bottleneckUse >= SATURATED_UTILISATION;
    this.fullSinceMs = isFull ? (this.fullSinceMs ?? nowMs) : undefined;
    this.takenAtFullUse = isFull ? this.takenAtFullUse + taken : 0;
    if (this.isFullFor(FULL_USE_MS, nowMs)) this.wasSaturated = true;
    else if (this.bottleneckUse < TARGET_UTILISATION) this.wasSaturated = false;
  }

  private needsLimit(nowMs: number): boolean {
    const isShared = this.areOthersSaturated;
    return this.isFullFor(isShared ? SHARED_FULL_USE_MS : FULL_USE_MS, nowMs);
  }

  /** True while connections come about as fast as they have since the entry is in full use. */
  private isStillOverloaded(nowMs: number): boolean {
    const fullForMs = nowMs - (this.fullSinceMs ?? nowMs);
    if (fullForMs <= 0) return false;
    const fullRatePerS = (this.takenAtFullUse * 1_000) / fullForMs;
    const ratePerS = Math.min(this.averageRatePerS, this.lastSecondRatePerS);
    return ratePerS >= CONTINUED_RATE_SHARE * fullRatePerS;
  }

  private get targetUse(): number {
    return this.areOthersSaturated
      ? SHARED_TARGET_UTILISATION
      : TARGET_UTILISATION;
  }

  private isFullFor(durationMs: number, nowMs: number): boolean {
    if (this.fullSinceMs === undefined) return false;
    return nowMs - this.fullSinceMs >= durationMs;
  }

  private startIfSaturated(nowMs: number): void {
    if (!this.needsLimit(nowMs)) return;
    if (this.areOthersSaturated && !this.isStillOverloaded(nowMs)) return;
    this.saturatingLimit = this.averageRatePerS;
    this.saturatedAtMs = nowMs;
    this.limitedSinceMs = nowMs;
    this.setLimit(this.averageRatePerS * FIRST_LIMIT_SHARE);
    this.permits = 0;
    this.permitsAtMs = nowMs;
    this.lastRefusalMs = nowMs;
  }

  private adapt(limit: number, forMs: number, nowMs: number): void {
    if (nowMs - this.lastRefusalMs > RELIEF_MS) {
      this.limit = undefined;
      return;
    }
    const growthPerS = this.growthPerS(limit, nowMs);
    this.setLimit(limit * Math.exp((growthPerS * forMs) / 1_000));
  }

  /** Relative change of the limit in a second. */
  private growthPerS(limit: number, nowMs: number): number {
    if (this.needsLimit(nowMs)) {
      const isOnset = nowMs - this.saturatedAtMs > ONSET_GAP_MS;
      if (isOnset) this.saturatingLimit = limit;
      this.saturatedAtMs = nowMs;
      return this.areOthersSaturated
        ? -SHARED_DECREASE_PER_S
        : -SATURATED_DECREASE_PER_S;
    }
    const growthPerS = GAIN_PER_S * (1 - this.bottleneckUse / this.targetUse);
    if (limit < CAUTIOUS_SHARE * this.saturatingLimit) return growthPerS;
    const sinceS = (nowMs - this.saturatedAtMs) / 1_000;
    return Math.min(growthPerS, CAUTIOUS_GROWTH_PER_S * sinceS);
  }

  private setLimit(perS: number): void {
    this.limit = Math.max(MIN_LIMIT_PER_S, perS);
  }

  private takePermit(nowMs: number): boolean {
    if (this.limit === undefined) return true;
    const elapsedMs = Math.max(0, nowMs - this.permitsAtMs);
    const mostPermits = Math.max(1, (this.limit * PERMIT_SPAN_MS) / 1_000);
    const gained = (this.limit * elapsedMs) / 1_000;
    this.permits = Math.min(mostPermits, this.permits + gained);
    this.permitsAtMs = nowMs;
    if (this.permits < 1) return false;
    this.permits--;
    return true;
  }
}
