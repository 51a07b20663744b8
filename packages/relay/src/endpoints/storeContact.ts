import {expiredKeptUntilMs} from '@lilacledge/policy';
import type {StoreRecovery} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';

/** Registrations may still be missing for this long after the store became available. */
const RECOVERY_MS = 3_000;

/** For how long the store has been available or unavailable to this process. */
export interface StoreContact {
  /** Time since the store became available; undefined while it is unavailable. */
  readonly answersForMs: number | undefined;
  /** Time since the store became unavailable; 0 while it is available. */
  readonly awayForMs: number;
}

/** Tracks outages of the store and how long registrations may be missing after one. */
export class StoreContactHistory {
  private availableAtMs: number | undefined;
  private unavailableAtMs: number;
  /** Until this time, a registration may be missing because it expired in an outage. */
  private expiryGraceEndsAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly clock: Clock) {
    this.unavailableAtMs = clock.nowMs();
  }

  /** The current state. */
  get now(): StoreContact {
    const nowMs = this.clock.nowMs();
    const {availableAtMs, unavailableAtMs} = this;
    if (availableAtMs === undefined || availableAtMs < unavailableAtMs) {
      return {answersForMs: undefined, awayForMs: nowMs - unavailableAtMs};
    }
    return {answersForMs: nowMs - availableAtMs, awayForMs: 0};
  }

  /** True while registrations may be missing that endpoints will renew. */
  get isRecovering(): boolean {
    const {availableAtMs} = this;
    if (availableAtMs === undefined) return false;
    return this.clock.nowMs() < availableAtMs + RECOVERY_MS;
  }

  /** Remaining time for which a registration may be missing because it expired. */
  get expiryGraceLeftMs(): number {
    return this.expiryGraceEndsAtMs - this.clock.nowMs();
  }

  /** Records the end of an outage; `settleMs` later, the usual bounds apply again. */
  noteAvailable(recovery: StoreRecovery, settleMs: number): void {
    this.availableAtMs = recovery.atMs;
    const endsMs = expiredKeptUntilMs(recovery, settleMs);
    this.expiryGraceEndsAtMs = Math.max(this.expiryGraceEndsAtMs, endsMs);
  }

  noteUnavailable(): void {
    this.unavailableAtMs = this.clock.nowMs();
  }
}
