import {coldShare} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {WarmUp} from '../model/index.js';
import type {Endpoint} from './endpoint.js';

/** Sends are counted over the second that the stated rate is of. */
const WINDOW_MS = 1_000;

/**
 * Entries that were seen this recently may still send: the life of a registration,
 * twice, as a link may show an entry for longer than that.
 */
const SEEN_KEPT_MS = 30_000;

/** Entries that share the endpoints. */
export interface ColdSharers {
  readonly self: string;
  /** Names of all entries that are seen now. */
  members(): readonly string[];
}

/**
 * Keeps this entry's part of the rate that cold endpoints bear. All sends count, the
 * first and any other; those that have to be made, for a run that goes on, too.
 */
export class ColdLimits {
  private readonly sends = new WeakMap<Endpoint, number[]>();
  private mostSeen = 0;
  private mostSeenAtMs = 0;
  private readonly startedAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly warmUpOf: (service: string) => WarmUp | undefined,
    private readonly sharers: ColdSharers,
    /** Time after the start in which other entries may not be seen yet. */
    private readonly settleMs: () => number,
  ) {
    this.startedAtMs = clock.nowMs();
  }

  /** True when the endpoint bears a send from this entry now. */
  allows(endpoint: Endpoint): boolean {
    return this.freeInMs(endpoint) <= 0;
  }

  /** Time until the endpoint bears a send from this entry; 0 or less when it does now. */
  freeInMs(endpoint: Endpoint): number {
    const warmUp = this.warmUpOf(endpoint.record.service);
    if (warmUp === undefined) return 0;
    const nowMs = this.clock.nowMs();
    const coldForMs = endpoint.coldUntilMs(warmUp.durationMs) - nowMs;
    if (coldForMs <= 0) return 0;
    const share = this.shareOf(warmUp, endpoint);
    const recent = this.recentSends(endpoint);
    if (recent.length < share) return 0;
    // The send after which one less than the share is left in the window.
    const blocking = recent[recent.length - share];
    if (blocking === undefined) return coldForMs;
    return Math.min(coldForMs, blocking + WINDOW_MS - nowMs);
  }

  noteSend(endpoint: Endpoint): void {
    const recent = this.recentSends(endpoint);
    recent.push(this.clock.nowMs());
    this.sends.set(endpoint, recent);
  }

  /** A send that was counted goes to another endpoint. */
  withdrawSend(endpoint: Endpoint): void {
    const recent = this.recentSends(endpoint);
    recent.pop();
    this.sends.set(endpoint, recent);
  }

  private recentSends(endpoint: Endpoint): number[] {
    const sinceMs = this.clock.nowMs() - WINDOW_MS;
    const known = this.sends.get(endpoint) ?? [];
    return known.filter((sentMs) => sentMs > sinceMs);
  }

  private shareOf({ratePerS}: WarmUp, endpoint: Endpoint): number {
    const members = this.sharers.members();
    const nowMs = this.clock.nowMs();
    this.noteSeen(members.length, nowMs);
    const {self} = this.sharers;
    const share = coldShare(
      ratePerS,
      self,
      members,
      this.mostSeen,
      endpoint.id,
    );
    // All may have started together, and each see only itself.
    const isNew = nowMs < this.startedAtMs + this.settleMs();
    return isNew ? Math.min(1, share) : share;
  }

  private noteSeen(count: number, nowMs: number): void {
    const isOld = nowMs > this.mostSeenAtMs + SEEN_KEPT_MS;
    if (count < this.mostSeen && !isOld) return;
    this.mostSeen = count;
    this.mostSeenAtMs = nowMs;
  }
}
