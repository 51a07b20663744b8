import type {Clock} from '@lilacledge/shared';
import {DemandSums} from './demandSums.js';
import type {OrganisationUse} from './organisationShares.js';

/** Shortest interval of the reports of an entry in a shortage. */
const REPORT_INTERVAL_MS = 250;

/**
 * Entries up to which the interval is the shortest one. With more it grows in proportion,
 * so that the messages per second over each link stay the same.
 */
const USUAL_ENTRIES = 31;

/** Reports that may be lost in a row before an entry's use no longer counts: 1 s. */
const LIFETIME_INTERVALS = 4;

/** How long versions are remembered, against messages that arrive late or again. */
const VERSION_TTL_MS = 60_000;

/**
 * Longest list and longest name of an organisation in a report; the largest uses are
 * reported. A receiver closes the link over a report that exceeds them.
 */
export const MAX_REPORT_ITEMS = 200;
export const MAX_ORGANISATION_NAME = 200;

/**
 * Engine memory of one organisation at one entry: of its runs, of its waiting urgent
 * requests and of its other waiting requests.
 */
export type DemandUse = readonly [
  organisation: string,
  usedTokens: number,
  urgentTokens: number,
  otherTokens: number,
];

/** Refused callers that were told to return at about the same time. */
export type ReturnsDue = readonly [dueInMs: number, callers: number];

/** Which waiting requests count: those of one urgency, or all. */
export const WaitingKind = {
  URGENT: 'urgent',
  OTHERS: 'others',
  ALL: 'all',
} as const;
export type WaitingKind = (typeof WaitingKind)[keyof typeof WaitingKind];

/** The demand of the callers of one entry for one service. */
export interface OwnDemand {
  readonly waitingUrgent: number;
  readonly waitingOthers: number;
  readonly uses: readonly DemandUse[];
  readonly returns: readonly ReturnsDue[];
}

/** The demand of one entry as it reports it to others. */
export interface DemandReport extends OwnDemand {
  /** ID of the incarnation of its process. */
  readonly origin: string;
  /** Grows with each report of the incarnation for the service. */
  readonly version: number;
  readonly service: string;
}

/** Refused callers that return at a time of this process's clock. */
export interface DueCallers {
  readonly dueAtMs: number;
  readonly callers: number;
}

interface ReceivedReport {
  readonly version: number;
  readonly receivedAtMs: number;
  /** Whether its use is part of the sums. */
  isCounted: boolean;
  readonly uses: readonly DemandUse[];
  readonly dueCallers: readonly DueCallers[];
}

/** Who reports: an incarnation of an entry, for one service. */
export interface DemandOrigin {
  readonly origin: string;
  readonly service: string;
  /** Number of entries in the fleet. */
  entryCount(): number;
}

/**
 * The demand for one service over all entries, as soft state: the newest version of each
 * incarnation counts, its use for a second and its returns until they are due. A loss is
 * repaired by the next report, duplicates and late messages are ignored, and an entry that
 * ended, or whose links closed, ages out.
 */
export class SharedDemand {
  private readonly received = new Map<string, ReceivedReport>();
  private readonly sums = new DemandSums();
  /** No report that is part of the sums expires before. */
  private nextExpiryMs = Infinity;
  private version = 0;
  private lastSentMs = -Infinity;
  /** When a request of the service last waited at any entry, as known here. */
  private lastShortMs = -Infinity;

  constructor(
    private readonly own: DemandOrigin,
    private readonly clock: Pick<Clock, 'nowMs'>,
  ) {}

  /** Interval at which an entry reports in a shortage. */
  get intervalMs(): number {
    const growth = Math.max(1, this.own.entryCount() / USUAL_ENTRIES);
    return REPORT_INTERVAL_MS * growth;
  }

  /** Time until the next report may be due. */
  get nextInMs(): number {
    const untilMs = this.lastSentMs + this.intervalMs - this.clock.nowMs();
    // Without a report at this time there was nothing to tell.
    return untilMs > 0 ? untilMs : this.intervalMs;
  }

  /** How long the use in a report counts, and reports continue after a shortage. */
  get lifetimeMs(): number {
    return LIFETIME_INTERVALS * this.intervalMs;
  }

  /** Applies a report of another entry; true if it is new and has to be forwarded. */
  note(report: DemandReport): boolean {
    const {origin, version, uses, returns} = report;
    if (origin === this.own.origin) return false;
    const nowMs = this.clock.nowMs();
    const known = this.received.get(origin);
    if (known !== undefined && known.version >= version) return false;
    this.evict(nowMs);
    if (known?.isCounted) this.sums.subtract(known.uses);
    this.sums.add(uses);
    this.nextExpiryMs = Math.min(this.nextExpiryMs, nowMs + this.lifetimeMs);
    this.received.set(origin, {
      version,
      receivedAtMs: nowMs,
      isCounted: true,
      uses,
      dueCallers: returns.map(([dueInMs, callers]) => ({
        dueAtMs: nowMs + dueInMs,
        callers,
      })),
    });
    if (countWaiting(report) > 0) this.lastShortMs = nowMs;
    return true;
  }

  /**
   * The report to send now, if any. An entry reports while requests wait here or elsewhere,
   * and while callers that it refused are due: the use of entries without waiting requests
   * counts as well.
   */
  next(own: OwnDemand): DemandReport | undefined {
    const nowMs = this.clock.nowMs();
    if (countWaiting(own) > 0) this.noteShortage();
    if (!this.isActive(own) || isEmpty(own)) return undefined;
    if (nowMs < this.lastSentMs + this.intervalMs) return undefined;
    this.lastSentMs = nowMs;
    this.version++;
    const {origin, service} = this.own;
    return {...limitSize(own), origin, version: this.version, service};
  }

  /** Whether reports are due at the interval. */
  isActive(own: OwnDemand): boolean {
    return this.isShort || own.returns.length > 0;
  }

  /** Whether a request of the service waits at any entry, or has within the lifetime. */
  get isShort(): boolean {
    return this.clock.nowMs() <= this.lastShortMs + this.lifetimeMs;
  }

  /** A request waits here because it found no room. */
  noteShortage(): void {
    this.lastShortMs = this.clock.nowMs();
  }

  /** Use and waiting requests by organisation over all entries, given those of this one. */
  usesWith(
    own: readonly DemandUse[],
    kind: WaitingKind = WaitingKind.ALL,
  ): Uses {
    this.expireUses();
    const uses: Uses = new Map();
    addUses(uses, this.sums.all(), kind);
    addUses(uses, own, kind);
    return uses;
  }

  /** Callers refused by other entries that have not returned yet. */
  get dueElsewhere(): DueCallers[] {
    const nowMs = this.clock.nowMs();
    return [...this.received.values()].flatMap(({dueCallers}) =>
      dueCallers.filter(({dueAtMs}) => dueAtMs > nowMs),
    );
  }

  /** Takes expired reports out of the sums. */
  private expireUses(): void {
    const nowMs = this.clock.nowMs();
    if (nowMs <= this.nextExpiryMs) return;
    const {lifetimeMs} = this;
    this.nextExpiryMs = Infinity;
    for (const report of this.received.values()) {
      if (!report.isCounted) continue;
      const expiryMs = report.receivedAtMs + lifetimeMs;
      if (nowMs > expiryMs) {
        report.isCounted = false;
        this.sums.subtract(report.uses);
      } else {
        this.nextExpiryMs = Math.min(this.nextExpiryMs, expiryMs);
      }
    }
  }

  private evict(nowMs: number): void {
    const ttlMs = Math.max(VERSION_TTL_MS, this.lifetimeMs);
    this.expireUses();
    for (const [origin, {receivedAtMs, isCounted}] of this.received) {
      if (!isCounted && receivedAtMs < nowMs - ttlMs) {
        this.received.delete(origin);
      }
    }
  }
}

type Uses = Map<string, OrganisationUse>;

function addUses(
  sums: Uses,
  uses: Iterable<DemandUse>,
  kind: WaitingKind,
): void {
  for (const [organisation, usedTokens, urgentTokens, otherTokens] of uses) {
    const known = sums.get(organisation);
    const waitingTokens =
      (kind === WaitingKind.OTHERS ? 0 : urgentTokens) +
      (kind === WaitingKind.URGENT ? 0 : otherTokens);
    sums.set(organisation, {
      usedTokens: (known?.usedTokens ?? 0) + usedTokens,
      waitingTokens: (known?.waitingTokens ?? 0) + waitingTokens,
    });
  }
}

/** Keeps the largest uses and the nearest returns. */
function limitSize(own: OwnDemand): OwnDemand {
  const uses = own.uses.filter(
    ([name]) => name.length <= MAX_ORGANISATION_NAME,
  );
  const sizeOf = ([, used, urgent, other]: DemandUse): number =>
    used + urgent + other;
  uses.sort((a, b) => sizeOf(b) - sizeOf(a));
  const returns = [...own.returns].sort(([a], [b]) => a - b);
  return {
    ...own,
    uses: uses.slice(0, MAX_REPORT_ITEMS),
    returns: returns.slice(0, MAX_REPORT_ITEMS),
  };
}

function countWaiting({waitingUrgent, waitingOthers}: OwnDemand): number {
  return waitingUrgent + waitingOthers;
}

function isEmpty(own: OwnDemand): boolean {
  const {uses, returns} = own;
  return countWaiting(own) === 0 && uses.length === 0 && returns.length === 0;
}
