import {CrashSuspicions, endsAsPlanned, makesTrial} from '@lilacledge/policy';
import type {
  CrashEnd,
  EndedLeave,
  Exposure,
  Suspicion,
} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import {hasEnded} from '../http/hasEnded.js';
import type {DecisionLogger} from '../log/boundedLog.js';
import type {CallerExchange} from '../requests/callerExchange.js';

/** One trial goes on for this long at the most; callers come back after it. */
const TRIAL_MS = 5_000;

/** Where news of a suspicion came from. */
export const SuspicionSource = {
  /** A send of this entry. */
  OWN: 'own',
  PEER: 'peer',
  STORE: 'store',
} as const;
export type SuspicionSource =
  (typeof SuspicionSource)[keyof typeof SuspicionSource];

/** A send whose connection broke before anything of its answer had come. */
export interface BrokenSend {
  readonly exposure: Exposure;
  readonly sentMs: number;
}

/** One attempt of a request, and what names it across its attempts. */
type NamedRequest = Pick<CallerExchange, 'id' | 'fingerprint'>;

type EndedEndpoint = Pick<
  Endpoint,
  'id' | 'record' | 'isLeaving' | 'hasSaidLeave' | 'removedAtMs'
>;

/** The entries of which one makes a trial, by name. */
export interface Fleet {
  readonly self: string;
  members(): readonly string[];
}

type Listener = (suspicion: Suspicion, source: SuspicionSource) => void;

/**
 * The requests under which endpoints have ended, as this entry saw them and as it was told.
 * The entry whose send broke is the witness: it knows what had come of the answer, and
 * finds out by itself whether the endpoint is gone.
 */
export class RequestSuspicions {
  private readonly known: CrashSuspicions;
  private readonly listeners: Listener[] = [];
  private trial:
    {readonly requestId: string; readonly untilMs: number} | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLogger,
    private readonly fleet: Fleet,
  ) {
    this.known = new CrashSuspicions(clock);
  }

  /** Requests that are remembered. */
  get size(): number {
    return this.known.size;
  }

  get all(): Suspicion[] {
    return this.known.all;
  }

  /** What is known of a request; undefined when nothing is. */
  get(fingerprint: string): Suspicion | undefined {
    return this.known.get(fingerprint);
  }

  /** Calls `listener` with each request of which something new is known. */
  onChange(listener: Listener): void {
    this.listeners.push(listener);
  }

  /** How long a request is sent nowhere; undefined where this attempt may be sent. */
  quarantineMs(exchange: NamedRequest): number | undefined {
    if (this.known.isEmpty) return undefined;
    const verdict = this.known.verdict(exchange.fingerprint);
    switch (verdict.kind) {
      case 'free':
      case 'suspected':
        return undefined;
      case 'quarantined':
        return verdict.forMs;
      case 'onTrial':
        return this.takesTrial(exchange) ? undefined : TRIAL_MS;
      default:
        return assertNever(verdict);
    }
  }

  /** True for a request that is sent nowhere now, or on trial alone. */
  isGivenUp(fingerprint: string): boolean {
    const {kind} = this.known.verdict(fingerprint);
    return kind === 'quarantined' || kind === 'onTrial';
  }

  /** True for a request under which endpoints ended, maybe by chance. */
  isSuspected(exchange: NamedRequest): boolean {
    if (this.known.isEmpty) return false;
    return this.known.verdict(exchange.fingerprint).kind !== 'free';
  }

  /** One entry tries, which all agree on, and one attempt at a time. */
  private takesTrial({id, fingerprint}: NamedRequest): boolean {
    const {self, members} = this.fleet;
    if (!makesTrial(fingerprint, self, members())) return false;
    const nowMs = this.clock.nowMs();
    const isOpen = this.trial !== undefined && nowMs < this.trial.untilMs;
    if (isOpen && this.trial?.requestId !== id) return false;
    if (!isOpen) this.trial = {requestId: id, untilMs: nowMs + TRIAL_MS};
    return true;
  }

  /** The connection of a send broke: did its endpoint end? */
  async noteBroken(
    exchange: NamedRequest,
    endpoint: EndedEndpoint,
    {exposure, sentMs}: BrokenSend,
  ): Promise<void> {
    if (endsAsPlanned(this.leaveOf(endpoint))) return;
    if (!(await hasEnded(endpoint.record.address))) return;
    const {fingerprint} = exchange;
    const sentAgoMs = this.clock.nowMs() - sentMs;
    const life = lifeOf(endpoint);
    const end: CrashEnd = {life, exposure, agoMs: 0, sentAgoMs};
    if (!this.known.noteEnd(fingerprint, end)) return;
    this.log.warn('endpoint.endedUnder', {
      request: exchange.id,
      fingerprint,
      endpoint: endpoint.id,
      exposure,
    });
    this.changed(fingerprint, SuspicionSource.OWN);
  }

  /** A part of the answer came: the request ends no endpoint. */
  noteServed(exchange: NamedRequest): void {
    if (this.known.isEmpty) return;
    const {fingerprint} = exchange;
    if (!this.known.noteServed(fingerprint)) return;
    this.log.info('request.cleared', {request: exchange.id, fingerprint});
    this.changed(fingerprint, SuspicionSource.OWN);
  }

  /** Another process tells what it knows. */
  noteTold(suspicion: Suspicion, source: SuspicionSource): void {
    if (this.known.merge(suspicion)) {
      this.changed(suspicion.fingerprint, source);
    }
  }

  private leaveOf(endpoint: EndedEndpoint): EndedLeave {
    const {isLeaving, hasSaidLeave, removedAtMs} = endpoint;
    const removedAgoMs =
      removedAtMs === undefined ? undefined : this.clock.nowMs() - removedAtMs;
    return {isLeaving, hasSaidLeave, removedAgoMs};
  }

  private changed(fingerprint: string, source: SuspicionSource): void {
    const suspicion = this.known.get(fingerprint);
    // It may have been dropped at once, where too much is known.
    if (suspicion === undefined) return;
    const {ends, cleared} = suspicion;
    this.log.info('request.suspicion', {
      fingerprint,
      source,
      ends: ends.length,
      cleared: cleared.length,
      isQuarantined: this.isGivenUp(fingerprint),
    });
    for (const listener of this.listeners) listener(suspicion, source);
  }
}

/** Names a life of an endpoint, which keeps its id when it starts again in place. */
function lifeOf({id, record}: EndedEndpoint): string {
  return `${id}@${record.startedAtMs ?? ''}`;
}
