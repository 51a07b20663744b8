import {lapseEndsMs} from '@lilacledge/policy';
import type {StoreReturn} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';

/** A store that came back this recently may still miss entries. */
const STORE_UNSETTLED_MS = 3_000;

/** Since when the store answers this process, or does not. */
export interface StoreContact {
  /** How long the store has answered; undefined while it does not. */
  readonly answersForMs: number | undefined;
  /** How long the store has not answered; 0 while it does. */
  readonly awayForMs: number;
}

/** When the store was away, and what may be missing because of it. */
export class StoreContactHistory {
  private returnedAtMs: number | undefined;
  private lostAtMs: number;
  /** Until when a missing registration may be one that lapsed. */
  private lapseEndsMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {
    this.lostAtMs = clock.nowMs();
  }

  /** Since when the store answers, or does not. */
  get now(): StoreContact {
    const nowMs = this.clock.nowMs();
    const {returnedAtMs, lostAtMs} = this;
    if (returnedAtMs === undefined || returnedAtMs < lostAtMs) {
      return {answersForMs: undefined, awayForMs: nowMs - lostAtMs};
    }
    return {answersForMs: nowMs - returnedAtMs, awayForMs: 0};
  }

  /** True while registrations may be missing that come back by themselves. */
  get isUnsettled(): boolean {
    const {returnedAtMs} = this;
    if (returnedAtMs === undefined) return false;
    return this.clock.nowMs() < returnedAtMs + STORE_UNSETTLED_MS;
  }

  /** How much longer a missing registration may be one that lapsed. */
  get lapseLeftMs(): number {
    return this.lapseEndsMs - this.clock.nowMs();
  }

  /** `settleMs` after the end of what was wrong, the bounds hold again. */
  noteReturned(seen: StoreReturn, settleMs: number): void {
    this.returnedAtMs = seen.atMs;
    const endsMs = lapseEndsMs(seen, settleMs);
    this.lapseEndsMs = Math.max(this.lapseEndsMs, endsMs);
  }

  noteLost(): void {
    this.lostAtMs = this.clock.nowMs();
  }
}
