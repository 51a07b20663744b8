import {LimitChange} from '@lilacledge/policy';
import type {PeerLimitReport} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import type {AnswerHead} from '../ports.js';
import type {Endpoint} from './endpoint.js';
import type {EndpointDirectory} from './endpointDirectory.js';

/** State that an endpoint announces in the head of an answer. */
type Announcement = Pick<
  AnswerHead,
  'limit' | 'isNotRun' | 'saysLeaving' | 'restMs'
>;

/** Called when the rate limit that an endpoint announces begins, changes or ends. */
export type LimitListener = (
  endpoint: Endpoint,
  report: PeerLimitReport,
) => void;

/** Applies the state that endpoints announce in their answers, per incarnation. */
export class EndpointAnnouncements {
  private readonly limitListeners: LimitListener[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly endpoints: Pick<
      EndpointDirectory,
      'all' | 'noteLeaveAnnounced'
    >,
    /** Name of this entry. */
    private readonly self: string,
  ) {}

  /** Applies the head of the endpoint's answer to a request that was sent at `sentMs`. */
  noteAnswer(
    endpoint: Endpoint,
    {limit, isNotRun, saysLeaving, restMs}: Announcement,
    sentMs: number,
  ): void {
    const nowMs = this.clock.nowMs();
    const times = {sentMs, nowMs, isRejection: isNotRun};
    const known = endpoint.announced.limit;
    const change = known.noteResponse(limit, times);
    this.logLimit(endpoint, change);
    const {self} = this;
    const wallMs = this.clock.wallMs();
    const report = known.nextReport(change, nowMs, {self, wallMs});
    if (report !== undefined) this.notifyListeners(endpoint, report);
    if (saysLeaving) this.endpoints.noteLeaveAnnounced(endpoint);
    if (restMs !== undefined) this.noteBackoff(endpoint, restMs);
  }

  /** Applies a rate limit, or its end, received from another entry. */
  notePeerLimit(endpoint: Endpoint, report: PeerLimitReport): void {
    const change = endpoint.announced.limit.notePeerReport(
      report,
      this.clock.nowMs(),
    );
    if (change === undefined) return;
    this.logLimit(endpoint, change);
    this.notifyListeners(endpoint, report);
  }

  /** Calls `listener` with each change of a rate limit that other entries need. */
  onLimitToReport(listener: LimitListener): void {
    this.limitListeners.push(listener);
  }

  /** Rate limits that apply or have ended lately, as reported to other entries. */
  get limits(): Array<[Endpoint, PeerLimitReport]> {
    const nowMs = this.clock.nowMs();
    return [...this.endpoints.all()]
      .filter(({announced: state}) => state.limit.isReported(nowMs))
      .map((endpoint) => [endpoint, endpoint.announced.limit.toReport(nowMs)]);
  }

  private logLimit(endpoint: Endpoint, change: LimitChange): void {
    if (change === LimitChange.NONE) return;
    this.log.info('endpoint.limit', {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      change,
      perS: endpoint.announced.limit.perS,
      open: endpoint.outstanding,
    });
  }

  private notifyListeners(endpoint: Endpoint, report: PeerLimitReport): void {
    for (const listener of this.limitListeners) listener(endpoint, report);
  }

  private noteBackoff(endpoint: Endpoint, restMs: number): void {
    endpoint.announced.backoff.noteRequest(restMs, this.clock.nowMs());
    this.log.info('endpoint.askedRest', {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      forMs: Math.round(restMs),
      open: endpoint.outstanding,
    });
  }
}
