import {sendShare} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {WarmUp} from '../model/index.js';
import type {Endpoint} from './endpoint.js';
import type {EndpointTerms} from './endpointTerms.js';

/** Sends to cold endpoints are counted over the second that the configured rate is of. */
const COLD_WINDOW_MS = 1_000;

/**
 * Entries that were seen this recently may still send: the life of a registration,
 * twice, as a link may show an entry for longer than that.
 */
const SEEN_KEPT_MS = 30_000;

/** Entries that share the endpoints. */
export interface SendSharers {
  readonly self: string;
  /** Names of all entries that are seen now. */
  members(): readonly string[];
}

/** One send to an endpoint that has been counted; nothing is sent without one. */
class CountedSend {
  // Keeps objects that only look like one from being taken for it.
  protected readonly isCounted = true;

  constructor(
    readonly endpoint: Endpoint,
    readonly atMs: number,
  ) {}
}
export type SendPermit = CountedSend;

/** What an endpoint bears within some span, from all entries. */
interface SendLimit {
  readonly sends: number;
  readonly windowMs: number;
  /** Earlier sends do not count. */
  readonly sinceMs: number;
  /** Least part of an entry. */
  readonly least: number;
}

/**
 * Keeps this entry's part of the rates that endpoints bear: of cold ones as configured, and
 * of those in need as they say in their answers; and the rests that they ask for. All sends
 * count, the first and any other; those that have to be made, for a run that goes on, too.
 */
export class SendLimits {
  /** Sends to each life of an endpoint, in order of time. */
  private readonly sends = new WeakMap<EndpointTerms, SendPermit[]>();
  private mostSeen = 0;
  private mostSeenAtMs = 0;
  private readonly startedAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly warmUpOf: (service: string) => WarmUp | undefined,
    private readonly sharers: SendSharers,
    /** Time after the start in which other entries may not be seen yet. */
    private readonly settleMs: () => number,
  ) {
    this.startedAtMs = clock.nowMs();
  }

  /** True when the endpoint bears a send from this entry now. */
  allows(endpoint: Endpoint): boolean {
    return this.freeInMs(endpoint) <= 0;
  }

  /** Time until the endpoint bears a send from this entry; 0 when it does now. */
  freeInMs(endpoint: Endpoint): number {
    return Math.max(
      endpoint.terms.rest.leftMs(this.clock.nowMs()),
      this.coldFreeInMs(endpoint),
      this.statedFreeInMs(endpoint),
    );
  }

  /** Counts a send, whether the endpoint bears it or not. */
  take(endpoint: Endpoint): SendPermit {
    const atMs = this.clock.nowMs();
    const permit = new CountedSend(endpoint, atMs);
    const sends = this.sends.get(endpoint.terms) ?? [];
    this.sends.set(endpoint.terms, sends);
    sends.push(permit);
    this.dropOld(endpoint.terms, sends);
    return permit;
  }

  /** Counts the send by which a run goes on; undefined where the endpoint wants no more. */
  takeContinuation(endpoint: Endpoint): SendPermit | undefined {
    const mayContinue = endpoint.terms.rest.tryContinue(this.clock.nowMs());
    return mayContinue ? this.take(endpoint) : undefined;
  }

  /** A send that was counted is not made. */
  withdraw(permit: SendPermit): void {
    const sends = this.sends.get(permit.endpoint.terms) ?? [];
    const index = sends.lastIndexOf(permit);
    if (index >= 0) sends.splice(index, 1);
  }

  private coldFreeInMs(endpoint: Endpoint): number {
    const warmUp = this.warmUpOf(endpoint.record.service);
    if (warmUp === undefined) return 0;
    const coldForMs =
      endpoint.coldUntilMs(warmUp.durationMs) - this.clock.nowMs();
    if (coldForMs <= 0) return 0;
    const freeInMs = this.freeWithin(endpoint, {
      sends: warmUp.ratePerS,
      windowMs: COLD_WINDOW_MS,
      sinceMs: -Infinity,
      least: 0,
    });
    return Math.min(coldForMs, freeInMs ?? coldForMs);
  }

  private statedFreeInMs(endpoint: Endpoint): number {
    const {limit} = endpoint.terms;
    if (limit.perS === undefined) return 0;
    const {sendsInWindow, windowMs} = limit;
    const freeInMs = this.freeWithin(endpoint, {
      sends: sendsInWindow,
      windowMs,
      sinceMs: limit.countedSinceMs,
      least: limit.isStale(this.clock.nowMs()) ? 1 : 0,
    });
    // Without a part of its own, an entry can say when another one may send.
    return freeInMs ?? windowMs / Math.max(1, sendsInWindow);
  }

  /** Time until one more send is within the part of this entry; undefined for no part. */
  private freeWithin(
    endpoint: Endpoint,
    {sends, windowMs, sinceMs, least}: SendLimit,
  ): number | undefined {
    const nowMs = this.clock.nowMs();
    const share = Math.max(least, this.shareOf(sends, endpoint));
    const fromMs = Math.max(sinceMs, nowMs - windowMs);
    const recent = this.sendsTo(endpoint).filter(({atMs}) => atMs > fromMs);
    if (recent.length < share) return 0;
    // The send after which one less than the share is left in the window.
    const blocking = recent[recent.length - share];
    return blocking && blocking.atMs + windowMs - nowMs;
  }

  /** Drops what no window counts, also that of a rate which is named next. */
  private dropOld({limit}: EndpointTerms, sends: SendPermit[]): void {
    const oldestMs = this.clock.nowMs() - limit.windowMs;
    while (sends[0] !== undefined && sends[0].atMs <= oldestMs) sends.shift();
  }

  private sendsTo({terms}: Endpoint): readonly SendPermit[] {
    return this.sends.get(terms) ?? [];
  }

  private shareOf(sends: number, endpoint: Endpoint): number {
    const members = this.sharers.members();
    const nowMs = this.clock.nowMs();
    this.noteSeen(members.length, nowMs);
    const {self} = this.sharers;
    const share = sendShare(sends, self, members, this.mostSeen, endpoint.id);
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
