/** The rate limit that the head of a response announces. */
export type LimitAnnouncement =
  | {readonly kind: 'none'}
  /** Requests per second from all entries together. */
  | {readonly kind: 'stated'; readonly perS: number}
  | {readonly kind: 'unreadable'};

/** How a response or report changed the limit. */
export const LimitChange = {
  NONE: 'none',
  BEGUN: 'begun',
  RAISED: 'raised',
  LOWERED: 'lowered',
  ENDED: 'ended',
} as const;
export type LimitChange = (typeof LimitChange)[keyof typeof LimitChange];

/** Times of one response, on the monotonic clock. */
export interface ResponseTimes {
  readonly sentMs: number;
  readonly nowMs: number;
  /** True for a rejection, which does not end the limit by announcing none. */
  readonly isRejection: boolean;
}

/** State of a limit as entries report it to one another. */
export interface PeerLimitReport {
  /** Undefined once the endpoint announces no limit. */
  readonly perS?: number;
  readonly ageMs: number;
  /** The report with the highest version wins; among equal versions, the last `origin` by name. */
  readonly version: number;
  /** The entry that received the response. */
  readonly origin: string;
}

/** The entry that reports. */
export interface LimitReporter {
  readonly self: string;
  /** Unix time; orders reports of a restarted entry after those of its prior incarnation. */
  readonly wallMs: number;
}

/** All entries together must keep a limit in any window of this length. */
const MIN_WINDOW_MS = 4_000;

/** Maximum window over which requests are counted at a low rate. */
const MAX_WINDOW_MS = 15_000;

/** Interval at which an unchanged limit is reported to other entries. */
const REFRESH_MS = 10_000;

/** A limit that was not announced for this long may have ended. */
const STALE_MS = 3 * REFRESH_MS;

/** No entry keeps a limit for longer without checking whether it has ended. */
const END_REPORTED_MS = STALE_MS + REFRESH_MS;

/** Minimum time since the last report, by kind of change. */
const MIN_REPORT_INTERVAL_MS: Readonly<Record<LimitChange, number>> = {
  none: REFRESH_MS,
  begun: 0,
  raised: REFRESH_MS,
  lowered: 250,
  ended: 0,
};

interface CurrentLimit {
  readonly perS: number;
  readonly heardMs: number;
}

/**
 * The rate limit that an endpoint announces for all entries together. Responses may arrive out
 * of order, so a limit holds until a request sent after its last announcement gets a response
 * without one, here or at a reporting entry. An entry whose share is zero gets no responses
 * and relies on reports. Reports carry a version from the entry that received the response:
 * ordered by time of arrival, a begin and an end that cross would replace each other forever.
 */
export class AnnouncedLimit {
  private stated: CurrentLimit | undefined;
  private startedAtMs = -Infinity;
  private endedAtMs = -Infinity;
  private reportedAtMs = -Infinity;
  private version = 0;
  private origin = '';

  /** Requests per second; undefined while the endpoint announces no limit. */
  get perS(): number | undefined {
    return this.stated?.perS;
  }

  /** Window over which requests are counted; long enough to allow one at low rates. */
  get windowMs(): number {
    const perSendMs = 1_000 / (this.perS ?? Infinity);
    return Math.min(MAX_WINDOW_MS, Math.max(MIN_WINDOW_MS, perSendMs));
  }

  /** Requests that all entries together may send in the window. */
  get sendsInWindow(): number {
    return ((this.perS ?? Infinity) * this.windowMs) / 1_000;
  }

  /** Requests sent before the limit was announced do not count. */
  get countedSinceMs(): number {
    return this.startedAtMs;
  }

  /** True if the limit may have ended without anyone having checked. */
  isStale(nowMs: number): boolean {
    return this.stated !== undefined && nowMs > this.stated.heardMs + STALE_MS;
  }

  noteResponse(
    announcement: LimitAnnouncement,
    {sentMs, nowMs, isRejection}: ResponseTimes,
  ): LimitChange {
    switch (announcement.kind) {
      case 'unreadable':
        return LimitChange.NONE;
      case 'stated':
        return this.set({perS: announcement.perS, heardMs: nowMs});
      case 'none': {
        const isOver =
          this.stated !== undefined && sentMs > this.stated.heardMs;
        return isOver && !isRejection ? this.end(nowMs) : LimitChange.NONE;
      }
    }
  }

  /** Applies a report of another entry; undefined if it is not newer. */
  notePeerReport(
    peer: PeerLimitReport,
    nowMs: number,
  ): LimitChange | undefined {
    if (!this.isNewer(peer)) return undefined;
    this.version = peer.version;
    this.origin = peer.origin;
    this.reportedAtMs = nowMs;
    const heardMs = nowMs - peer.ageMs;
    if (peer.perS !== undefined) return this.set({perS: peer.perS, heardMs});
    return this.stated === undefined ? LimitChange.NONE : this.end(heardMs);
  }

  /** The report to send after a response to this entry; undefined if none is due. */
  nextReport(
    change: LimitChange,
    nowMs: number,
    {self, wallMs}: LimitReporter,
  ): PeerLimitReport | undefined {
    const isDue = nowMs >= this.reportedAtMs + MIN_REPORT_INTERVAL_MS[change];
    const isKnown = this.stated !== undefined || change === LimitChange.ENDED;
    if (!isDue || !isKnown) return undefined;
    this.reportedAtMs = nowMs;
    this.version = Math.max(this.version + 1, Math.round(wallMs));
    this.origin = self;
    return this.toReport(nowMs);
  }

  /** True if entries that are linked from now on may not know the limit, or its end. */
  isReported(nowMs: number): boolean {
    return (
      this.stated !== undefined || nowMs < this.endedAtMs + END_REPORTED_MS
    );
  }

  /** The current state as a report. */
  toReport(nowMs: number): PeerLimitReport {
    const {stated, version, origin} = this;
    const ageMs = nowMs - (stated?.heardMs ?? this.endedAtMs);
    return {perS: stated?.perS, ageMs, version, origin};
  }

  private isNewer({version, origin}: PeerLimitReport): boolean {
    if (version !== this.version) return version > this.version;
    return origin > this.origin;
  }

  private set(limit: CurrentLimit): LimitChange {
    const known = this.stated;
    this.stated = limit;
    if (known !== undefined) return compareRates(known.perS, limit.perS);
    // A limit that ends and soon returns is counted as one.
    const isNewPeriod = limit.heardMs > this.endedAtMs + MIN_WINDOW_MS;
    if (isNewPeriod) this.startedAtMs = limit.heardMs;
    return LimitChange.BEGUN;
  }

  private end(nowMs: number): LimitChange {
    this.stated = undefined;
    this.endedAtMs = nowMs;
    return LimitChange.ENDED;
  }
}

function compareRates(knownPerS: number, perS: number): LimitChange {
  if (perS === knownPerS) return LimitChange.NONE;
  return perS > knownPerS ? LimitChange.RAISED : LimitChange.LOWERED;
}
