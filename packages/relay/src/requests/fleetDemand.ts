import {
  areAboveShare,
  countAboveShare,
  forecastReturnMs,
  owedTokens,
  SharedDemand,
  SharedReturns,
  WaitingKind,
} from '@lilacledge/policy';
import type {
  DemandReport,
  DemandUse,
  OrganisationUse,
  OwnDemand,
  QueuePosition,
  RoomRequest,
} from '@lilacledge/policy';
import {alwaysHalf} from '@lilacledge/shared';
import type {Clock, Random} from '@lilacledge/shared';
import type {Switches} from '../switches.js';
import type {ActiveRun} from './runRegistry.js';

/** What the demand of an entry is made of. */
export interface DemandSources {
  readonly clock: Clock;
  readonly random: Random;
  readonly switches: Switches;
  /** ID of the incarnation of this process. */
  readonly origin: string;
  /** Number of entries in the fleet. */
  entryCount(): number;
  /** The generations of this process for all services. */
  runs(): Iterable<ActiveRun>;
  /** Rank of an organisation in the configuration, 0 first. */
  rankOf(organisation: string): number;
}

/** A request that waits for room. */
export interface WaitingDemand {
  /** Undefined if the caller has no organisation. */
  readonly organisation?: string;
  readonly tokens: number;
  readonly position: QueuePosition;
}

/** Where the shares of organisations put a waiting request. */
export interface SharePlace {
  readonly isAboveShare: boolean;
  /** Memory that it leaves free for those that go before it at other entries. */
  readonly owedTokens: number;
}

/** A request that is refused with a retry time. */
export interface RefusedDemand {
  readonly waiting: WaitingDemand;
  readonly question: RoomRequest;
  /** The retry time by the forecast of this entry alone. */
  readonly retryAfterMs: number;
  /** Rate at which the queue drains; undefined before it was measured. */
  readonly tokensPerMs: number | undefined;
}

/**
 * The demand for one service over all entries, as far as it concerns this entry's queue.
 * Only callers with an organisation count, so that nothing changes without organisations.
 */
export class FleetDemand {
  private readonly shared: SharedDemand;
  private readonly returns: SharedReturns;
  private waiting: readonly WaitingDemand[] = [];

  constructor(
    private readonly service: string,
    private readonly sources: DemandSources,
    /** Called when reports to other entries are due. */
    private readonly onActive: () => void,
  ) {
    const {origin, clock, random} = sources;
    const entryCount = (): number => sources.entryCount();
    this.shared = new SharedDemand({origin, service, entryCount}, clock);
    const {spreadReturns} = sources.switches;
    this.returns = new SharedReturns(
      clock,
      spreadReturns ? random : alwaysHalf,
    );
  }

  /** Places of the waiting requests, in their order; undefined if shares change nothing. */
  sharePlaces(waiting: readonly WaitingDemand[]): SharePlace[] | undefined {
    const {shared, sources} = this;
    if (!sources.switches.organisationShares || !shared.isShort) {
      return undefined;
    }
    if (waiting.every(({organisation}) => organisation === undefined)) {
      return undefined;
    }
    const own = this.ownUses(waiting);
    const places: SharePlace[] = [];
    // Requests of less urgent groups leave the room as well that is owed to more urgent ones.
    let owedBefore = 0;
    for (const group of groupByRank(waiting)) {
      const uses = this.usesOfRank(group[0]!.item.position, own);
      const flags = areAboveShare(
        group.map(({item}) => item),
        uses,
      );
      // Requests of this queue that are below their share precede these anyway.
      const ownBelowTokens = group
        .filter((_, index) => !flags[index])
        .reduce((sum, {item}) => sum + item.tokens, 0);
      const owed = owedBefore + Math.max(0, owedTokens(uses) - ownBelowTokens);
      group.forEach(({index}, position) => {
        const isAboveShare = flags[position]!;
        const owedToOthers = isAboveShare ? owed : owedBefore;
        places[index] = {isAboveShare, owedTokens: owedToOthers};
      });
      if (flags.includes(true)) owedBefore = owed;
    }
    return places;
  }

  /** Records the requests that wait after the queue was processed. */
  noteWaiting(waiting: readonly WaitingDemand[]): void {
    this.waiting = waiting.filter(
      ({organisation}) => organisation !== undefined,
    );
    if (this.waiting.length === 0 || !this.isReporting) return;
    this.shared.noteShortage();
    this.onActive();
  }

  /** The retry times of requests that are refused at the same time, in their order. */
  retryTimes(refused: readonly RefusedDemand[]): number[] {
    const times = refused.map(({retryAfterMs}) => retryAfterMs);
    if (!this.sources.switches.sharedReturns) return times;
    const byDeadline = refused
      .map((item, index) => ({item, index}))
      .filter(({item}) => item.waiting.organisation !== undefined)
      .sort(
        (a, b) =>
          a.item.waiting.position.deadlineMs -
          b.item.waiting.position.deadlineMs,
      );
    for (const {item, index} of byDeadline) times[index] = this.assign(item);
    if (byDeadline.length > 0) this.onActive();
    return times;
  }

  /** Applies a report of another entry; true if it is new. */
  note(report: DemandReport): boolean {
    return this.shared.note(report);
  }

  /** The report to send now, if any. */
  nextReport(): DemandReport | undefined {
    return this.isReporting ? this.shared.next(this.ownDemand()) : undefined;
  }

  /** Time until the next report; undefined while none will be due. */
  get nextReportInMs(): number | undefined {
    const isActive = this.isReporting && this.shared.isActive(this.ownDemand());
    return isActive ? this.shared.nextInMs : undefined;
  }

  /** Number of organisations with waiting requests whose use exceeds their share. */
  get organisationsAboveShare(): number {
    if (!this.shared.isShort) return 0;
    return countAboveShare(this.shared.usesWith(this.ownUses(this.waiting)));
  }

  /** Number of callers refused by any entry that have yet to return. */
  get callersDue(): number {
    return this.shared.dueElsewhere.reduce(
      (sum, {callers}) => sum + callers,
      this.returns.callers,
    );
  }

  private get isReporting(): boolean {
    const {organisationShares, sharedReturns} = this.sources.switches;
    return organisationShares || sharedReturns;
  }

  private assign(refused: RefusedDemand): number {
    const {clock} = this.sources;
    const {waiting, question, retryAfterMs, tokensPerMs} = refused;
    return this.returns.assign(
      {
        earliestMs: forecastReturnMs(question),
        timeLeftMs: waiting.position.deadlineMs - clock.nowMs(),
        forecastMs: retryAfterMs,
      },
      tokensPerMs === undefined
        ? undefined
        : {
            ownPerMs: tokensPerMs / waiting.tokens,
            entries: this.sources.entryCount(),
          },
      this.shared.dueElsewhere,
    );
  }

  /** Use and demand of the organisations whose requests have the rank of `position`. */
  private usesOfRank(
    position: QueuePosition,
    own: readonly DemandUse[],
  ): Map<string, OrganisationUse> {
    const {switches, rankOf} = this.sources;
    const kind = isUrgent(position) ? WaitingKind.URGENT : WaitingKind.OTHERS;
    const uses = this.shared.usesWith(own, kind);
    if (!switches.organisationRanks) return uses;
    for (const name of [...uses.keys()]) {
      if (rankOf(name) !== position.organisationRank) uses.delete(name);
    }
    return uses;
  }

  private ownDemand(): OwnDemand {
    const {waiting} = this;
    const waitingUrgent = waiting.filter(({position}) =>
      isUrgent(position),
    ).length;
    return {
      waitingUrgent,
      waitingOthers: waiting.length - waitingUrgent,
      uses: this.ownUses(waiting),
      returns: this.returns.due,
    };
  }

  private ownUses(waiting: readonly WaitingDemand[]): DemandUse[] {
    const uses = new Map<string, [number, number, number]>();
    const add = (
      organisation: string | undefined,
      tokens: number,
      place: 0 | 1 | 2,
    ): void => {
      if (organisation === undefined) return;
      const sums = uses.get(organisation) ?? [0, 0, 0];
      sums[place] += Math.round(tokens);
      uses.set(organisation, sums);
    };
    for (const {endpoint, organisation, memoryTokens} of this.sources.runs()) {
      if (endpoint.record.service !== this.service) continue;
      add(organisation, memoryTokens, 0);
    }
    for (const {organisation, tokens, position} of waiting) {
      add(organisation, tokens, isUrgent(position) ? 1 : 2);
    }
    return [...uses].map(([name, sums]) => [name, ...sums]);
  }
}

/** Urgent by class where engines order routes, otherwise by the rank of the route. */
function isUrgent({canWait, routeRank}: QueuePosition): boolean {
  return canWait === undefined ? routeRank === 0 : !canWait;
}

interface Indexed {
  readonly item: WaitingDemand;
  readonly index: number;
}

/** Groups waiting requests whose shares are compared, keeping their order. */
function groupByRank(waiting: readonly WaitingDemand[]): Indexed[][] {
  const groups = new Map<string, Indexed[]>();
  waiting.forEach((item, index) => {
    const {organisationRank} = item.position;
    const key = `${organisationRank} ${isUrgent(item.position)}`;
    const group = groups.get(key) ?? [];
    group.push({item, index});
    groups.set(key, group);
  });
  return [...groups.values()];
}
