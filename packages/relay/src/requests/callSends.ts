import {callDuration, Exposure, mayBegin, RetryKind} from '@lilacledge/policy';
import type {RetryLoan} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';
import {chooseForCall, isEndpointSilent} from '../endpoints/chooseEndpoint.js';
import type {CallChoice} from '../endpoints/chooseEndpoint.js';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {SendPermit} from '../endpoints/sendLimits.js';
import {RequestClass} from '../model/index.js';
import type {CallerExchange} from './callerExchange.js';
import {
  firstSuccess,
  isSuccess,
  preferredOutcome,
  SERVER_ERROR_MIN,
} from './callOutcome.js';
import type {CallOutcome} from './callOutcome.js';
import {describeFeatures} from './describeFeatures.js';
import {attemptAt} from './endpointAttempt.js';
import {canSendTo, sendLimitRetryMs} from './permittedEndpoints.js';
import type {RelayContext} from './relayContext.js';
import {borrowRetry, takeRetry} from './takeRetry.js';

/** Maximum size of an answer of a non-streaming service, which is buffered as a whole. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Maximum sends of one request, rejected ones included: these are cheap but not free. */
const MAX_SENDS = 4;

/** Retries of a call wait for the result of the probe. */
const PROBE_MS = 20;

const NO_ENDPOINT_AVAILABLE: CallOutcome = {
  kind: 'notRun',
  detail: 'no endpoint is available',
};

/** Outcome of a call that this process may not live to finish. */
export const LEAVING: CallOutcome = {
  kind: 'notRun',
  detail: 'the entry is leaving',
};

/** Whether a call that is sent now ends before this process exits. */
export function mayFinishCall(
  {callTimesOf, closing, clock}: RelayContext,
  {allowed, timeLeftMs}: CallerExchange,
): boolean {
  const duration = callDuration({
    expectedMs: callTimesOf(allowed.service).maxExpectedMs,
    timeLeftMs,
    mayRunAgain: allowed.route.requestClass === RequestClass.IDEMPOTENT,
  });
  return mayBegin(closing, clock.nowMs(), duration);
}

/** The sends of one call: the first one, retries, and hedged sends. */
export class CallSends {
  count = 0;
  readonly tried = new Set<string>();
  private runs = 0;
  private bestFailure: CallOutcome | undefined;
  /** A retry that another entry lent for the next send. */
  private loan: RetryLoan | undefined;

  constructor(
    private readonly context: RelayContext,
    private readonly exchange: CallerExchange,
  ) {}

  /** Sends until the call succeeds or no retry is allowed; returns the preferred outcome. */
  async run(): Promise<CallOutcome> {
    for (;;) {
      if (!mayFinishCall(this.context, this.exchange)) {
        this.bestFailure ??= LEAVING;
        break;
      }
      const choice = this.nextEndpoint();
      if (choice === undefined) break;
      const outcome = await this.sendHedged(choice);
      if (isSuccess(outcome)) return outcome;
      this.bestFailure = preferredOutcome(this.bestFailure, outcome);
      if (this.exchange.signal.aborted || !this.mayRetry(outcome)) break;
      this.loan = await this.borrowRetry();
      if (this.exchange.signal.aborted) break;
    }
    const failure = this.bestFailure ?? NO_ENDPOINT_AVAILABLE;
    if (failure.kind !== 'notRun') return failure;
    const {context, exchange} = this;
    const retryAfterMs =
      context.suspicions.quarantineMs(exchange) ??
      sendLimitRetryMs(context, exchange.allowed);
    return {...failure, retryAfterMs};
  }

  private get isIdempotent(): boolean {
    const {requestClass} = this.exchange.allowed.route;
    return requestClass === RequestClass.IDEMPOTENT;
  }

  private mayRetry(outcome: CallOutcome): boolean {
    if (outcome.kind === 'notRun') return true;
    return (
      this.isIdempotent && this.runs < this.exchange.allowed.route.maxAttempts
    );
  }

  private borrowRetry(): Promise<RetryLoan | undefined> {
    return borrowRetry(this.context, this.exchange, RetryKind.RETRY);
  }

  /** The next endpoint to send to; undefined when the limits on sends allow none. */
  private nextEndpoint(): CallChoice | undefined {
    const {context, exchange} = this;
    if (this.count >= MAX_SENDS) return undefined;
    if (context.suspicions.quarantineMs(exchange) !== undefined) {
      return undefined;
    }
    const {service} = exchange.allowed;
    const isRetry = this.count > 0;
    const times = context.callTimesOf(service);
    const nowMs = context.clock.nowMs();
    const silentAfterMs = ({speed}: Endpoint): number =>
      times.silentAfterMs(speed.slowness(nowMs));
    const choice = chooseForCall(
      context.endpoints.ofService(service),
      this.tried,
      {
        zone: context.settings.zone,
        nowMs,
        random: context.random,
        drainMs: context.settings.drainMs,
        silentAfterMs,
        // A retry at a silent endpoint would be lost, and may arrive long afterwards.
        accepts: (endpoint) =>
          canSendTo(context, exchange.allowed, endpoint) &&
          !(isRetry && isEndpointSilent(endpoint, {nowMs, silentAfterMs})),
      },
    );
    if (choice === undefined || !isRetry) return choice;
    const isTaken = takeRetry(context, exchange, RetryKind.RETRY, this.loan);
    return isTaken ? choice : undefined;
  }

  /** Sends to `first`, and also to a second endpoint if the first one is slower than usual. */
  private async sendHedged(first: CallChoice): Promise<CallOutcome> {
    const hedgeAfterMs = this.hedgeAfterMs(first.endpoint);
    const sending = this.send(first);
    const mayHedge = this.isIdempotent && this.context.switches.overtakingReads;
    if (!mayHedge) return sending;
    const isLate = await this.isLate(sending, hedgeAfterMs);
    const {maxAttempts} = this.exchange.allowed.route;
    if (!isLate || this.runs >= maxAttempts) return sending;
    if (!mayFinishCall(this.context, this.exchange)) return sending;
    const second = this.nextEndpoint();
    if (second === undefined) return sending;
    this.context.log.info('call.overtaken', {
      request: this.exchange.id,
      late: first.endpoint.id,
      endpoint: second.endpoint.id,
      ageMs: Math.round(this.exchange.ageMs),
    });
    return firstSuccess([sending, this.send(second)]);
  }

  /** How long to wait for the endpoint's answer before a second send. */
  private hedgeAfterMs(endpoint: Endpoint): number {
    const {clock, allowed, ageMs} = this.exchange;
    const pace = endpoint.speed.slowness(clock.nowMs());
    const goalLeftMs = allowed.route.latencyGoalMs - ageMs;
    const times = this.context.callTimesOf(allowed.service);
    return times.hedgeAfterMs(pace, goalLeftMs);
  }

  private isLate(
    sending: Promise<CallOutcome>,
    afterMs: number,
  ): Promise<boolean> {
    const {clock} = this.exchange;
    return new Promise((resolve) => {
      const cancel = clock.after(afterMs, () => resolve(true));
      const finish = (): void => {
        cancel();
        resolve(false);
      };
      // Whoever awaits the send learns how it ended.
      sending.then(finish, finish);
    });
  }

  private async send(choice: CallChoice): Promise<CallOutcome> {
    const {exchange} = this;
    const {endpoint} = choice;
    const loadAtSend = {outstanding: endpoint.outstanding, load: endpoint.load};
    this.tried.add(endpoint.id);
    this.count++;
    this.runs++;
    endpoint.outstanding++;
    const permit = this.context.sendLimits.acquire(endpoint);
    try {
      const outcome = await this.sendAndReadAnswer(permit);
      if (outcome.kind === 'notRun') this.runs--;
      if (!isSuccess(outcome) && !exchange.signal.aborted) {
        this.logFailure(choice, loadAtSend, outcome);
      }
      return outcome;
    } finally {
      endpoint.outstanding--;
    }
  }

  /** Logs the failure of one send, and the load by which the endpoint was chosen. */
  private logFailure(
    choice: CallChoice,
    asSent: Pick<Endpoint, 'outstanding' | 'load'>,
    outcome: CallOutcome,
  ): void {
    const {context, exchange} = this;
    const {endpoint, score, candidates} = choice;
    const {outstanding, load} = asSent;
    const nowMs = context.clock.nowMs();
    context.log.info('call.failedAt', {
      request: exchange.id,
      features: describeFeatures(exchange.features),
      endpoint: endpoint.id,
      score: Number(score.toFixed(2)),
      candidates,
      outstanding,
      running: load?.value.running,
      waiting: load?.value.waiting,
      pacePercent: load?.value.pacePercent,
      loadAgeMs: load && Math.round(nowMs - load.atMs),
      outcome: outcome.kind,
      status: outcome.kind === 'answer' ? outcome.head.status : undefined,
      detail: outcome.kind === 'answer' ? undefined : outcome.detail,
      ageMs: Math.round(exchange.ageMs),
    });
  }

  private async sendAndReadAnswer(permit: SendPermit): Promise<CallOutcome> {
    const {context, exchange} = this;
    const {endpoint} = permit;
    const {signal} = exchange;
    const sentMs = context.clock.nowMs();
    const paceAtSend = endpoint.speed.slowness(sentMs);
    const attempt = await attemptAt(context, exchange, permit, signal);
    const nowMs = context.clock.nowMs();
    switch (attempt.kind) {
      case 'notRun':
        return {kind: 'notRun', detail: attempt.detail};
      case 'mayHaveRun': {
        const {detail, isBroken} = attempt;
        if (isBroken) await this.noteBroken(endpoint, sentMs);
        return {kind: 'mayHaveRun', detail};
      }
      case 'answered': {
        const read = await context.heldAnswers.read(
          attempt.response,
          MAX_ANSWER_BYTES,
        );
        if (read.kind === 'whole') exchange.keepAnswer(read.answer);
        if (read.kind !== 'whole' || (await attempt.isBrokenOff())) {
          attempt.cancel();
          if (!signal.aborted) {
            endpoint.health.noteFailure(nowMs);
            await this.noteBroken(endpoint, sentMs);
          }
          return {kind: 'mayHaveRun', detail: 'the answer was cut'};
        }
        context.suspicions.noteServed(exchange);
        const {head} = attempt;
        if (head.status >= SERVER_ERROR_MIN) endpoint.health.noteFailure(nowMs);
        else this.noteSuccess(endpoint, sentMs, paceAtSend);
        return {kind: 'answer', head, body: read.answer};
      }
      default:
        return assertNever(attempt);
    }
  }

  /** Answers of calls arrive in one piece, so it is unknown whether the endpoint had begun. */
  private noteBroken(endpoint: Endpoint, sentMs: number): Promise<void> {
    const {context, exchange} = this;
    return context.suspicions.noteBrokenSend(exchange, endpoint, {
      exposure: Exposure.RUNNING,
      sentMs,
      probeMs: PROBE_MS,
    });
  }

  private noteSuccess(
    endpoint: Endpoint,
    sentMs: number,
    paceAtSend: number,
  ): void {
    const {context, exchange} = this;
    endpoint.health.noteSuccess();
    const tookMs = context.clock.nowMs() - sentMs;
    context.callTimesOf(exchange.allowed.service).note(tookMs, paceAtSend);
  }
}
