import {
  canContinue,
  continuedPosition,
  Exposure,
  HarmlessnessProof,
  lastEventIdOf,
  RetryKind,
} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {EngineTraits, GenerationSize} from '../model/index.js';
import {abortAnswer} from './answerCaller.js';
import {awaitEndpoint} from './awaitAvailability.js';
import {AbortCause} from './callerExchange.js';
import type {CallerExchange} from './callerExchange.js';
import {CallerStream} from './callerStream.js';
import {createRun} from './createRun.js';
import {describeFeatures} from './describeFeatures.js';
import {attemptAt} from './endpointAttempt.js';
import type {AnsweredAttempt} from './endpointAttempt.js';
import {EventRelay} from './eventRelay.js';
import {GenerationAdmission} from './generationAdmission.js';
import {answerFailure, servingEndOf} from './generationEnd.js';
import type {SegmentEnd} from './generationEnd.js';
import {takeHandover} from './handoverTarget.js';
import type {SegmentStart} from './handoverTarget.js';
import {quarantineRefusal} from './quarantine.js';
import type {RelayContext} from './relayContext.js';
import type {ActiveRun} from './runRegistry.js';
import {borrowRetry, hasRetryBudget, takeRetry} from './takeRetry.js';

/** Maximum number of rejected sends of one request. */
const MAX_REJECTED_SENDS = 5;

/** Maximum number of times that a generation continues at another endpoint. */
const MAX_CONTINUATIONS = 12;

/** A cut stream is lost anyway, and a busy proxy may take this long to show a crash. */
const PROBE_MS = 150;

/** Maximum size of an answer that is not a stream. */
const MAX_PLAIN_ANSWER_BYTES = 1024 * 1024;

/** Assumed size of a request that does not state one. */
const DEFAULT_SIZE: GenerationSize = {
  promptTokens: 1_000,
  maxOutputTokens: 1_000,
  prefixParts: [],
};

/** Relays one generation, over several endpoints if necessary. */
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
  private readonly proof: HarmlessnessProof;
  private readonly events: EventRelay;
  private continuations = 0;
  /** Times that an endpoint may have run the generation from its start, without stored memory. */
  private freshStarts = 0;
  /** True once the latest send was answered with a response head. */
  private hasAnswerBegun = false;
  /** Reason given to the caller when no engine was chosen. */
  private refusalDetail = 'no engine has room';
  /** Retry delay for the caller; set when no engine was chosen. */
  private retryAfterMs: number | undefined;

  constructor(
    private readonly context: RelayContext,
    private readonly exchange: CallerExchange,
    private readonly traits: EngineTraits,
  ) {
    this.size = exchange.allowed.request.size ?? DEFAULT_SIZE;
    this.admission = new GenerationAdmission(
      context,
      exchange,
      traits,
      this.size,
    );
    this.stream = new CallerStream(context, exchange);
    this.proof = new HarmlessnessProof(context.clock);
    this.events = new EventRelay(context, exchange, traits, {
      stream: this.stream,
      proof: this.proof,
      noteFirstEvent: () => this.admission.noteFirstEvent(),
    });
  }

  async run(): Promise<void> {
    this.context.suspicions.noteRequest(this.exchange);
    if (this.admission.forecasts.wouldOutliveProcess()) {
      return this.finish({kind: 'notRun', detail: 'the entry is leaving'});
    }
    const refused = quarantineRefusal(this.context, this.exchange);
    if (refused !== undefined) return this.finish(refused);
    const missing = await awaitEndpoint(this.context, this.exchange);
    if (missing !== undefined) {
      const detail = 'no endpoint is available';
      const {retryAfterMs} = missing;
      return this.finish({kind: 'notRun', detail, retryAfterMs});
    }
    let start = await this.admit();
    let end: SegmentEnd = {kind: 'notRun', detail: this.refusalDetail};
    try {
      while (start !== undefined) {
        end = await this.runSegment(start);
        if (this.exchange.signal.aborted) break;
        start = await this.nextSegment(start, end);
      }
    } finally {
      if (this.activeRun !== undefined) {
        this.context.runs.remove(this.activeRun);
        this.admission.noteRunEnded(this.activeRun);
      }
    }
    await this.finish(end);
  }

  private async admit(): Promise<SegmentStart | undefined> {
    const {admission, context, exchange} = this;
    const admitted = await admission.admit(this.rejectedBy);
    if (admitted.kind === 'refused') {
      this.retryAfterMs = admitted.retryAfterMs;
      return undefined;
    }
    const {permit} = admitted;
    // Other entries may have seen it crash endpoints while it waited for room.
    const refused = quarantineRefusal(context, exchange);
    if (refused === undefined) return {permit};
    admission.withdraw(permit);
    this.refusalDetail = refused.detail;
    this.retryAfterMs = refused.retryAfterMs;
    return undefined;
  }

  /** Where the generation runs next; undefined if it cannot continue. */
  private async nextSegment(
    last: SegmentStart,
    end: SegmentEnd,
  ): Promise<SegmentStart | undefined> {
    // A quarantined request must not reach another engine through its stored memory.
    const refused = quarantineRefusal(this.context, this.exchange);
    if (refused !== undefined) {
      this.retryAfterMs = refused.retryAfterMs;
      return undefined;
    }
    if (this.activeRun !== undefined && !canContinue(this.activeRun.position)) {
      return undefined;
    }
    switch (end.kind) {
      case 'complete':
      case 'answer':
        return undefined;
      case 'notRun':
        if (last.continueFrom === undefined) return this.startElsewhere(last);
        return (await this.continueElsewhere(end)) ?? this.startOver(last);
      case 'cut':
        return (await this.continueElsewhere(end)) ?? this.startOver(last);
      default:
        return assertNever(end);
    }
  }

  private async startElsewhere(
    last: SegmentStart,
  ): Promise<SegmentStart | undefined> {
    this.rejectedBy.add(last.permit.endpoint.id);
    if (this.rejectedBy.size >= MAX_REJECTED_SENDS) return undefined;
    return this.admitWithinBudget();
  }

  /**
   * Runs a resumable stream that was lost with its engine again at another one, which
   * continues after the caller's last event. Resumable prompts are short, so a second prefill
   * costs little. A stream that is not resumable is lost.
   */
  private async startOver(
    last: SegmentStart,
  ): Promise<SegmentStart | undefined> {
    const {allowed, signal} = this.exchange;
    const {isResumable, maxAttempts} = allowed.route;
    const mayRunAgain = isResumable && this.freshStarts < maxAttempts;
    if (!mayRunAgain || signal.aborted) return undefined;
    this.rejectedBy.add(last.permit.endpoint.id);
    return this.admitWithinBudget();
  }

  private async admitWithinBudget(): Promise<SegmentStart | undefined> {
    const {context, exchange} = this;
    if (!hasRetryBudget(context, exchange)) return undefined;
    const start = await this.admit();
    if (start === undefined) return undefined;
    const loan = await borrowRetry(context, exchange, RetryKind.RETRY);
    if (takeRetry(context, exchange, RetryKind.RETRY, loan)) return start;
    this.admission.withdraw(start.permit);
    return undefined;
  }

  /** The endpoint that continues a stopped or interrupted run, if any. */
  private async continueElsewhere(
    end: SegmentEnd & {readonly detail: string},
  ): Promise<SegmentStart | undefined> {
    const run = this.activeRun;
    if (run === undefined || this.continuations >= MAX_CONTINUATIONS) {
      return undefined;
    }
    const {context, exchange} = this;
    const next = await takeHandover(context, exchange, run);
    context.log.info('generation.cut', {
      request: run.requestId,
      endpoint: run.endpoint.id,
      detail: end.detail,
      events: run.eventsRelayed,
      hasBegun: this.hasAnswerBegun,
      features: describeFeatures(exchange.features),
      goesOnAt: next?.permit.endpoint.id,
    });
    if (next !== undefined) this.continuations++;
    return next;
  }

  /** Runs one segment: the generation at one endpoint, until its stream ends there. */
  private async runSegment(start: SegmentStart): Promise<SegmentEnd> {
    const {context, exchange} = this;
    const {endpoint} = start.permit;
    const run = this.assignRun(endpoint);
    endpoint.outstanding++;
    this.hasAnswerBegun = false;
    if (start.continueFrom !== undefined) {
      run.position = continuedPosition(run.position);
    }
    this.proof.noteSent();
    const sentMs = context.clock.nowMs();
    try {
      const attempt = await attemptAt(
        context,
        exchange,
        start.permit,
        exchange.signal,
        {
          continueFrom: start.continueFrom,
          lastEventId: lastEventIdOf(run.position),
        },
      );
      if (attempt.kind !== 'notRun' && start.continueFrom === undefined) {
        this.freshStarts++;
      }
      switch (attempt.kind) {
        case 'notRun':
          return {kind: 'notRun', detail: attempt.detail};
        case 'mayHaveRun':
          if (attempt.isBroken) {
            await this.noteBroken(run, Exposure.WAITING, sentMs);
          }
          return {kind: 'cut', detail: attempt.detail};
        case 'answered':
          break;
        default:
          return assertNever(attempt);
      }
      this.hasAnswerBegun = true;
      if (attempt.head.status !== 200) {
        return await this.readNonStreamAnswer(endpoint, attempt);
      }
      const end = await this.events.relay(run, attempt);
      if (end.kind === 'complete') endpoint.health.noteSuccess();
      else attempt.cancel();
      if (end.kind === 'cut') {
        await this.noteFailedStream(run, endpoint);
        await this.noteBroken(run, Exposure.RUNNING, sentMs);
      }
      return end;
    } finally {
      endpoint.outstanding--;
    }
  }

  /** A stream that no caller and no order has ended has failed at its endpoint. */
  private async noteFailedStream(
    run: ActiveRun,
    {health}: Endpoint,
  ): Promise<void> {
    if (this.exchange.signal.aborted || (await run.mayBeStopped())) return;
    health.noteFailure(this.context.clock.nowMs());
  }

  /**
   * Reports a connection that the endpoint broke. A request that has proved harmless is not
   * suspected, as a crash is attributed to requests that had just begun to run.
   */
  private async noteBroken(
    run: ActiveRun,
    exposure: Exposure,
    sentMs: number,
  ): Promise<void> {
    const {context, exchange, proof} = this;
    if (proof.isProven || exchange.signal.aborted) return;
    const {hasEvents} = proof;
    await context.suspicions.noteBrokenSend(exchange, run.endpoint, {
      exposure: hasEvents ? Exposure.WAITING : exposure,
      hasEvents,
      sentMs,
      probeMs: PROBE_MS,
    });
  }

  private assignRun(endpoint: Endpoint): ActiveRun {
    const {context, exchange, size, traits} = this;
    this.admission.release(endpoint);
    if (this.activeRun !== undefined) {
      context.runs.relocate(this.activeRun, endpoint);
      return this.activeRun;
    }
    const run = createRun(context, exchange, endpoint, size, traits);
    this.activeRun = run;
    context.runs.add(run);
    return run;
  }

  private async readNonStreamAnswer(
    endpoint: Endpoint,
    attempt: AnsweredAttempt,
  ): Promise<SegmentEnd> {
    const {heldAnswers} = this.context;
    const {response} = attempt;
    const read = await heldAnswers.read(response, MAX_PLAIN_ANSWER_BYTES);
    if (read.kind === 'whole') this.exchange.keepAnswer(read.answer);
    endpoint.health.noteFailure(this.context.clock.nowMs());
    if (read.kind !== 'whole' || (await attempt.isBrokenOff())) {
      return {kind: 'cut', detail: 'answer cut'};
    }
    this.context.suspicions.noteServed(this.exchange);
    return {kind: 'answer', head: attempt.head, body: read.answer};
  }

  /** If any endpoint began to run the request, a final `notRun` does not hold for all of them. */
  private overallEnd(lastEnd: SegmentEnd): SegmentEnd {
    if (lastEnd.kind !== 'notRun' || this.freshStarts === 0) return lastEnd;
    return {kind: 'cut', detail: lastEnd.detail};
  }

  private async finish(lastEnd: SegmentEnd): Promise<void> {
    const {context, exchange} = this;
    const end = await this.stream.deliverHeld(this.overallEnd(lastEnd));
    const {route} = exchange.allowed;
    const {abortCause, response} = exchange;
    const hasCallerLeft = abortCause === AbortCause.CALLER_LEFT;
    const verdict = hasCallerLeft ? 'callerLeft' : end.kind;
    context.metrics.noteOutcome(route, verdict, exchange.ageMs);
    const servingEnd = hasCallerLeft ? 'left' : servingEndOf(end);
    context.metrics.served.note(route, servingEnd, this.stream.times);
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
    if (hasCallerLeft) return;
    if (this.stream.hasBegun) abortAnswer(response);
    else answerFailure(context, exchange, end, this.retryAfterMs);
  }
}
