import {LimitChange} from '@lilacledge/policy';
import type {ToldLimit} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {DecisionLogger} from '../log/boundedLog.js';
import type {AnswerHead} from '../ports.js';
import type {Endpoint} from './endpoint.js';
import type {EndpointDirectory} from './endpointDirectory.js';

/** What an endpoint says of itself in the head of an answer. */
type EndpointStatement = Pick<
  AnswerHead,
  'limit' | 'isNotRun' | 'saysLeaving' | 'restMs'
>;

/** Hears of a limit that an endpoint names, or names no more. */
export type LimitListener = (endpoint: Endpoint, told: ToldLimit) => void;

/** Takes over what endpoints say of themselves in their answers, kept for each life. */
export class EndpointStatements {
  private readonly limitListeners: LimitListener[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLogger,
    private readonly endpoints: Pick<
      EndpointDirectory,
      'all' | 'noteSaidLeave'
    >,
    /** Name of this entry. */
    private readonly self: string,
  ) {}

  /** The endpoint's own answer to a request that was sent at `sentMs`. */
  noteAnswer(
    endpoint: Endpoint,
    {limit, isNotRun, saysLeaving, restMs}: EndpointStatement,
    sentMs: number,
  ): void {
    const nowMs = this.clock.nowMs();
    const times = {sentMs, nowMs, isRejection: isNotRun};
    const known = endpoint.terms.limit;
    const change = known.noteAnswer(limit, times);
    this.logLimit(endpoint, change);
    const {self} = this;
    const wallMs = this.clock.wallMs();
    const news = known.newsOf(change, nowMs, {self, wallMs});
    if (news !== undefined) this.tell(endpoint, news);
    if (saysLeaving) this.endpoints.noteSaidLeave(endpoint);
    if (restMs !== undefined) this.noteRest(endpoint, restMs);
  }

  /** Another entry tells of the rate that an endpoint names, or names no more. */
  noteLimitTold(endpoint: Endpoint, told: ToldLimit): void {
    const change = endpoint.terms.limit.noteTold(told, this.clock.nowMs());
    if (change === undefined) return;
    this.logLimit(endpoint, change);
    this.tell(endpoint, told);
  }

  /** Calls `listener` with what other entries should hear of endpoints' limits. */
  onLimitToTell(listener: LimitListener): void {
    this.limitListeners.push(listener);
  }

  /** Limits that are in force, as they are told. */
  get limits(): Array<[Endpoint, ToldLimit]> {
    const nowMs = this.clock.nowMs();
    return [...this.endpoints.all()]
      .filter(({terms}) => terms.limit.perS !== undefined)
      .map((endpoint) => [endpoint, endpoint.terms.limit.asTold(nowMs)]);
  }

  private logLimit(endpoint: Endpoint, change: LimitChange): void {
    if (change === LimitChange.NONE) return;
    this.log.info('endpoint.limit', {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      change,
      perS: endpoint.terms.limit.perS,
      open: endpoint.outstanding,
    });
  }

  private tell(endpoint: Endpoint, told: ToldLimit): void {
    for (const listener of this.limitListeners) listener(endpoint, told);
  }

  private noteRest(endpoint: Endpoint, restMs: number): void {
    endpoint.terms.rest.noteAsked(restMs, this.clock.nowMs());
    this.log.info('endpoint.askedRest', {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      forMs: Math.round(restMs),
      open: endpoint.outstanding,
    });
  }
}
