import {sendShare} from '@lilacledge/policy';
import type {OpenSend} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {WarmUp} from '../model/index.js';
import type {Endpoint} from './endpoint.js';
import type {AnnouncedState} from './announcedState.js';

/** The configured rate for cold endpoints is per second. */
const COLD_WINDOW_MS = 1_000;

/**
 * Entries that disappeared this recently may still send: twice the lifetime of a
 * registration, as links may keep an entry visible after its registration has expired.
 */
const MEMBER_TTL_MS = 30_000;

/** Entries that share the rates of the endpoints. */
export interface SharingEntries {
  readonly self: string;
  /** Names of all entries that are visible now. */
  members(): readonly string[];
}

/** Proof that a send was counted; required to send anything to an endpoint. */
class CountedSend {
  // Makes the type nominal.
  protected readonly isCountedSend = true;

  private send: OpenSend | undefined;

  constructor(
    readonly endpoint: Endpoint,
    private readonly atMs: number,
  ) {}

  /** The send that is made with the permit. */
  follow(send: OpenSend): void {
    this.send = send;
  }

  /** When it counts: a send that was given up may still arrive. */
  countsAtMs(nowMs: number): number {
    return this.send?.latestArrivalMs(nowMs) ?? this.atMs;
  }
}
export type SendPermit = CountedSend;

/** Maximum number of sends to an endpoint within a window, from all entries. */
interface SendLimit {
  readonly sends: number;
  readonly windowMs: number;
  /** Sends before this time are not counted. */
  readonly sinceMs: number;
  /** Minimum share of each entry. */
  readonly minShare: number;
}

/**
 * Enforces this entry's share of the rate limits of endpoints: the configured limit of cold
 * endpoints and the limits that endpoints announce in their answers. Also enforces the
 * backoff that endpoints request. All sends count: first sends, retries and the mandatory
 * sends that continue a run.
 */
export class SendLimits {
  /** Sends to each incarnation of an endpoint, oldest first. */
  private readonly sends = new WeakMap<AnnouncedState, SendPermit[]>();
  private maxSeenEntries = 0;
  private maxSeenAtMs = 0;
  private readonly startedAtMs: number;

  constructor(
    private readonly clock: Clock,
    private readonly warmUpOf: (service: string) => WarmUp | undefined,
    private readonly entries: SharingEntries,
    /** Time after the start for which other entries may not be visible yet. */
    private readonly settleMs: () => number,
  ) {
    this.startedAtMs = clock.nowMs();
  }

  /** True if this entry may send to the endpoint now. */
  allows(endpoint: Endpoint): boolean {
    return this.nextSendInMs(endpoint) <= 0;
  }

  /** Time until this entry may send to the endpoint; 0 if it may send now. */
  nextSendInMs(endpoint: Endpoint): number {
    return Math.max(
      endpoint.announced.backoff.remainingMs(this.clock.nowMs()),
      this.coldWaitMs(endpoint),
      this.announcedWaitMs(endpoint),
    );
  }

  /** Counts a send, even if it exceeds the limits. */
  acquire(endpoint: Endpoint): SendPermit {
    const atMs = this.clock.nowMs();
    const permit = new CountedSend(endpoint, atMs);
    const sends = this.sends.get(endpoint.announced) ?? [];
    this.sends.set(endpoint.announced, sends);
    sends.push(permit);
    this.dropOld(endpoint.announced, sends);
    return permit;
  }

  /** Counts a send that continues a run; undefined if the requested backoff forbids it. */
  acquireForContinuation(endpoint: Endpoint): SendPermit | undefined {
    const mayContinue = endpoint.announced.backoff.tryContinue(
      this.clock.nowMs(),
    );
    return mayContinue ? this.acquire(endpoint) : undefined;
  }

  /** Uncounts a send that is not made. */
  release(permit: SendPermit): void {
    const sends = this.sends.get(permit.endpoint.announced) ?? [];
    const index = sends.lastIndexOf(permit);
    if (index >= 0) sends.splice(index, 1);
  }

  private coldWaitMs(endpoint: Endpoint): number {
    const warmUp = this.warmUpOf(endpoint.record.service);
    if (warmUp === undefined) return 0;
    const coldForMs =
      endpoint.coldUntilMs(warmUp.durationMs) - this.clock.nowMs();
    if (coldForMs <= 0) return 0;
    const waitMs = this.waitWithin(endpoint, {
      sends: warmUp.ratePerS,
      windowMs: COLD_WINDOW_MS,
      sinceMs: -Infinity,
      minShare: 0,
    });
    return Math.min(coldForMs, waitMs ?? coldForMs);
  }

  private announcedWaitMs(endpoint: Endpoint): number {
    const {limit} = endpoint.announced;
    if (limit.perS === undefined) return 0;
    const {sendsInWindow, windowMs} = limit;
    const waitMs = this.waitWithin(endpoint, {
      sends: sendsInWindow,
      windowMs,
      sinceMs: limit.countedSinceMs,
      minShare: limit.isStale(this.clock.nowMs()) ? 1 : 0,
    });
    // An entry without a share of its own returns the interval between all entries' sends.
    return waitMs ?? windowMs / Math.max(1, sendsInWindow);
  }

  /** Time until one more send is within this entry's share; undefined if it has no share. */
  private waitWithin(
    endpoint: Endpoint,
    {sends, windowMs, sinceMs, minShare}: SendLimit,
  ): number | undefined {
    const nowMs = this.clock.nowMs();
    const share = Math.max(minShare, this.shareOf(sends, endpoint));
    const fromMs = Math.max(sinceMs, nowMs - windowMs);
    const recentMs = this.sendsTo(endpoint)
      .map((send) => send.countsAtMs(nowMs))
      .filter((atMs) => atMs > fromMs)
      .sort((a, b) => a - b);
    if (recentMs.length < share) return 0;
    // Once this send leaves the window, one more send is allowed.
    const blockingMs = recentMs[recentMs.length - share];
    return blockingMs === undefined ? undefined : blockingMs + windowMs - nowMs;
  }

  /** Drops sends that are outside the window of every limit, including later ones. */
  private dropOld({limit}: AnnouncedState, sends: SendPermit[]): void {
    const nowMs = this.clock.nowMs();
    const isOld = (send: SendPermit): boolean =>
      send.countsAtMs(nowMs) <= nowMs - limit.windowMs;
    if (sends[0] === undefined || !isOld(sends[0])) return;
    const kept = sends.filter((send) => !isOld(send));
    sends.splice(0, sends.length, ...kept);
  }

  private sendsTo({announced: state}: Endpoint): readonly SendPermit[] {
    return this.sends.get(state) ?? [];
  }

  private shareOf(sends: number, endpoint: Endpoint): number {
    const members = this.entries.members();
    const nowMs = this.clock.nowMs();
    this.noteEntryCount(members.length, nowMs);
    const {self} = this.entries;
    const share = sendShare(
      sends,
      self,
      members,
      this.maxSeenEntries,
      endpoint.id,
    );
    // All entries may have started together and not see each other yet.
    const isNew = nowMs < this.startedAtMs + this.settleMs();
    return isNew ? Math.min(1, share) : share;
  }

  private noteEntryCount(count: number, nowMs: number): void {
    const isOld = nowMs > this.maxSeenAtMs + MEMBER_TTL_MS;
    if (count < this.maxSeenEntries && !isOld) return;
    this.maxSeenEntries = count;
    this.maxSeenAtMs = nowMs;
  }
}
