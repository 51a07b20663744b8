import {Exposure} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import {readBody} from '../http/readBody.js';
import type {EngineTraits, GenerationSize} from '../model/index.js';
import type {BrokenSend} from '../suspicions/requestSuspicions.js';
import {breakOff} from './answerCaller.js';
import {awaitEndpoint} from './awaitView.js';
import {AbortCause} from './callerExchange.js';
import type {CallerExchange} from './callerExchange.js';
import {CallerStream} from './callerStream.js';
import {attemptAt} from './endpointAttempt.js';
import type {AttemptOutcome} from './endpointAttempt.js';
import {EventSplitter} from './eventSplitter.js';
import {GenerationAdmission} from './generationAdmission.js';
import {answerFailure} from './generationEnd.js';
import type {StretchEnd} from './generationEnd.js';
import {handoverWithinLimits} from './handoverPlace.js';
import type {StretchStart} from './handoverPlace.js';
import {OutputMeter} from './outputMeter.js';
import {isAtHome} from './permittedPlaces.js';
import {quarantineRefusal} from './quarantine.js';
import type {RelayContext} from './relayContext.js';
import {ActiveRun} from './runRegistry.js';
import {hasRepeatLeft, takeRepeat} from './takeRepeat.js';

/** Sends of one request that no endpoint ran. */
const MOST_REJECTED_SENDS = 5;

/** Times that one generation goes on at another endpoint. */
const MOST_CONTINUATIONS = 12;

/** Largest answer that is no stream. */
const MAX_PLAIN_ANSWER_BYTES = 1024 * 1024;

/** What a request without a size is taken for. */
const UNKNOWN_SIZE: GenerationSize = {
  promptTokens: 1_000,
  maxOutputTokens: 1_000,
  prefixParts: [],
};

type AnsweredAttempt = Extract<AttemptOutcome, {kind: 'answered'}>;

/** Relays one generation, over as many endpoints as it takes. */
export async function relayGeneration(
  context: RelayContext,
  exchange: CallerExchange,
  traits: EngineTraits,
): Promise<void> {
  const relay = new GenerationRelay(context, exchange, traits);
  await relay.run();
}

class GenerationRelay {
  private readonly size: GenerationSize;
  private readonly rejectedBy = new Set<string>();
  private activeRun: ActiveRun | undefined;
  private readonly admission: GenerationAdmission;
  private readonly stream: CallerStream;
  private continuations = 0;
  /** Times that an endpoint may have begun it anew, not from its memory. */
  private begins = 0;
  /** True once the head of an answer came for the newest send. */
  private hasAnswerBegun = false;
  /** Why no engine was taken, when none was. */
  private refusal = 'no engine has room';
  /** When room is expected; set when none was found. */
  private retryAfterMs: number | undefined;

  constructor(
    private readonly context: RelayContext,
    private readonly exchange: CallerExchange,
    private readonly traits: EngineTraits,
  ) {
    this.size = exchange.allowed.request.size ?? UNKNOWN_SIZE;
    this.admission = new GenerationAdmission(
      context,
      exchange,
      traits,
      this.size,
    );
    this.stream = new CallerStream(context, exchange);
  }

  async run(): Promise<void> {
    if (this.admission.wouldBeCut()) {
      this.finish({kind: 'notRun', detail: 'the entry is leaving'});
      return;
    }
    const refused = quarantineRefusal(this.context, this.exchange);
    if (refused !== undefined) {
      this.finish(refused);
      return;
    }
    const missing = await awaitEndpoint(this.context, this.exchange);
    if (missing !== undefined) {
      const detail = 'no endpoint is available';
      const {retryAfterMs} = missing;
      this.finish({kind: 'notRun', detail, retryAfterMs});
      return;
    }
    let start = await this.choose();
    let end: StretchEnd = {kind: 'notRun', detail: this.refusal};
    try {
      while (start !== undefined) {
        end = await this.stretch(start);
        if (this.exchange.signal.aborted) break;
        start = await this.nextStart(start, end);
      }
    } finally {
      if (this.activeRun !== undefined) {
        this.context.runs.remove(this.activeRun);
      }
    }
    this.finish(end);
  }

  private async choose(): Promise<StretchStart | undefined> {
    const {admission, context, exchange} = this;
    const admitted = await admission.admit(this.rejectedBy);
    if (admitted.kind === 'refused') {
      this.retryAfterMs = admitted.retryAfterMs;
      return undefined;
    }
    const {permit} = admitted;
    // Endpoints may have ended under it elsewhere while it waited for room.
    const refused = quarantineRefusal(context, exchange);
    if (refused === undefined) return {permit};
    admission.withdraw(permit);
    this.refusal = refused.detail;
    this.retryAfterMs = refused.retryAfterMs;
    return undefined;
  }

  /** Where the generation goes on, if it can. */
  private async nextStart(
    last: StretchStart,
    end: StretchEnd,
  ): Promise<StretchStart | undefined> {
    // What an engine keeps of it would carry it to the next one.
    const {suspicions} = this.context;
    if (suspicions.quarantineMs(this.exchange) !== undefined) return undefined;
    switch (end.kind) {
      case 'complete':
      case 'answer':
        return undefined;
      case 'notRun':
        if (last.continueFrom === undefined) return this.afterRejection(last);
        return (await this.continuation(end)) ?? this.beginAgain(last);
      case 'cut':
        return (await this.continuation(end)) ?? this.beginAgain(last);
      default:
        return assertNever(end);
    }
  }

  private async afterRejection(
    last: StretchStart,
  ): Promise<StretchStart | undefined> {
    this.rejectedBy.add(last.permit.endpoint.id);
    if (this.rejectedBy.size >= MOST_REJECTED_SENDS) return undefined;
    return this.chooseWithinBudget();
  }

  /**
   * A stream that may be resumed was lost with its engine: another one runs it
   * again and goes on after the caller's last event. Short questions, which are
   * resumable, cost little to read again; a stream that may not be is lost.
   */
  private async beginAgain(
    last: StretchStart,
  ): Promise<StretchStart | undefined> {
    const {route} = this.exchange.allowed;
    const {signal} = this.exchange;
    const mayRunAgain = route.isResumable && this.begins < route.maxAttempts;
    if (!mayRunAgain || signal.aborted) return undefined;
    this.rejectedBy.add(last.permit.endpoint.id);
    return this.chooseWithinBudget();
  }

  private async chooseWithinBudget(): Promise<StretchStart | undefined> {
    const {context, exchange} = this;
    if (!hasRepeatLeft(context, exchange)) return undefined;
    const start = await this.choose();
    if (start === undefined || takeRepeat(context, exchange)) return start;
    this.admission.withdraw(start.permit);
    return undefined;
  }

  /** The next place of a run that was stopped or cut. */
  private async continuation(
    end: StretchEnd & {readonly detail: string},
  ): Promise<StretchStart | undefined> {
    const run = this.activeRun;
    if (run === undefined || this.continuations >= MOST_CONTINUATIONS) {
      return undefined;
    }
    const {context, exchange} = this;
    const next = await handoverWithinLimits(context, exchange, run);
    context.log.info('generation.cut', {
      request: run.requestId,
      endpoint: run.endpoint.id,
      detail: end.detail,
      events: run.eventsRelayed,
      hasBegun: this.hasAnswerBegun,
      fingerprint: exchange.fingerprint,
      goesOnAt: next?.permit.endpoint.id,
    });
    if (next !== undefined) this.continuations++;
    return next;
  }

  /** Runs the generation at one endpoint until its stream ends there. */
  private async stretch(start: StretchStart): Promise<StretchEnd> {
    const {context, exchange} = this;
    const {endpoint} = start.permit;
    const run = this.activate(endpoint);
    endpoint.outstanding++;
    this.hasAnswerBegun = false;
    const sentMs = context.clock.nowMs();
    try {
      const attempt = await attemptAt(
        context,
        exchange,
        start.permit,
        exchange.signal,
        {
          continueFrom: start.continueFrom,
          lastEventId:
            start.continueFrom === undefined
              ? run.lastEventId
              : (run.lastEventId ?? '0'),
        },
      );
      if (attempt.kind !== 'notRun' && start.continueFrom === undefined) {
        this.begins++;
      }
      switch (attempt.kind) {
        case 'notRun':
          return {kind: 'notRun', detail: attempt.detail};
        case 'mayHaveRun':
          if (attempt.isBroken) {
            await this.noteBroken(run, {exposure: Exposure.WAITING, sentMs});
          }
          return {kind: 'cut', detail: attempt.detail};
        case 'answered':
          break;
        default:
          return assertNever(attempt);
      }
      this.hasAnswerBegun = true;
      if (attempt.head.status !== 200) {
        return await this.readPlain(endpoint, attempt);
      }
      const end = await this.relayEvents(run, attempt);
      if (end.kind === 'complete') endpoint.health.noteSuccess();
      else attempt.cancel();
      if (end.kind === 'cut') {
        await this.noteBroken(run, {exposure: Exposure.RUNNING, sentMs});
      }
      return end;
    } finally {
      endpoint.outstanding--;
    }
  }

  /** What has sent an event is not what ends engines that begin to run it. */
  private async noteBroken(run: ActiveRun, send: BrokenSend): Promise<void> {
    const {context, exchange} = this;
    if (run.eventsRelayed > 0 || exchange.signal.aborted) return;
    await context.suspicions.noteBroken(exchange, run.endpoint, send);
  }

  private activate(endpoint: Endpoint): ActiveRun {
    const {context, exchange, size, traits} = this;
    this.admission.release(endpoint);
    if (this.activeRun !== undefined) {
      context.runs.relocate(this.activeRun, endpoint);
      return this.activeRun;
    }
    const run = new ActiveRun(
      exchange.id,
      endpoint,
      size.promptTokens,
      size.expectedOutputTokens ?? size.maxOutputTokens / 2,
      traits.tokensPerEvent,
      context.clock.nowMs(),
      (place) => isAtHome(context, exchange.allowed, place),
    );
    this.activeRun = run;
    context.runs.add(run);
    return run;
  }

  private async readPlain(
    endpoint: Endpoint,
    attempt: AnsweredAttempt,
  ): Promise<StretchEnd> {
    const read = await readBody(attempt.response, MAX_PLAIN_ANSWER_BYTES);
    endpoint.health.noteFailure(this.context.clock.nowMs());
    if (read.kind !== 'whole' || (await attempt.isReset())) {
      return {kind: 'cut', detail: 'answer cut'};
    }
    this.context.suspicions.noteServed(this.exchange);
    return {kind: 'answer', head: attempt.head, body: read.body};
  }

  private async relayEvents(
    run: ActiveRun,
    attempt: AnsweredAttempt,
  ): Promise<StretchEnd> {
    const {head, response} = attempt;
    const splitter = new EventSplitter();
    const meter = this.outputMeter();
    try {
      for await (const chunk of response) {
        for (const event of splitter.feed(chunk as Buffer)) {
          if (!this.stream.accepts(run, event)) {
            return {kind: 'cut', detail: `event ${event.id} is out of order`};
          }
          if (run.eventsRelayed === 0) this.noteFirstEvent();
          meter.noteEvent(this.context.clock.nowMs());
          await this.stream.hand(run, head, event);
          if (this.exchange.signal.aborted) {
            return {kind: 'cut', detail: 'the exchange ended'};
          }
        }
      }
    } catch (error) {
      return {kind: 'cut', detail: String(error)};
    }
    if (!response.complete || (await attempt.isReset()) || splitter.hasPart) {
      return {kind: 'cut', detail: 'the stream broke off'};
    }
    if (!this.stream.hasBegun) this.stream.begin(head);
    return {kind: 'complete'};
  }

  private noteFirstEvent(): void {
    this.admission.noteFirstEvent();
    this.context.suspicions.noteServed(this.exchange);
  }

  private outputMeter(): OutputMeter {
    const pace = this.context.paceOf(this.exchange.allowed.service);
    return new OutputMeter(pace, this.traits.tokensPerEvent);
  }

  /** The last endpoint's refusal is no promise if another one began to run. */
  private overall(lastEnd: StretchEnd): StretchEnd {
    if (lastEnd.kind !== 'notRun' || this.begins === 0) return lastEnd;
    return {kind: 'cut', detail: lastEnd.detail};
  }

  private finish(lastEnd: StretchEnd): void {
    const {context, exchange} = this;
    const end = this.overall(lastEnd);
    const {route} = exchange.allowed;
    const {abortCause, response} = exchange;
    const isLeft = abortCause === AbortCause.CALLER_LEFT;
    const verdict = isLeft ? 'callerLeft' : end.kind;
    context.metrics.noteOutcome(route, verdict, exchange.ageMs);
    if (this.stream.hasBegun) {
      context.metrics.notePause(this.stream.longestPauseMs);
    }
    const fields = {
      request: exchange.id,
      route: route.name,
      endpoint: this.activeRun?.endpoint.id,
      events: this.activeRun?.eventsRelayed,
      continuations: this.continuations,
      firstEventMs: this.stream.firstEventMs,
      longestPauseMs: Math.round(this.stream.longestPauseMs),
      ageMs: Math.round(exchange.ageMs),
    };
    if (end.kind === 'complete') {
      response.end();
      context.log.info('generation.served', fields);
      return;
    }
    context.log.warn('generation.notServed', {
      ...fields,
      verdict,
      cause: abortCause,
      detail: end.kind === 'answer' ? `status ${end.head.status}` : end.detail,
    });
    if (isLeft) return;
    if (this.stream.hasBegun) breakOff(response);
    else answerFailure(context, exchange, end, this.retryAfterMs);
  }
}
