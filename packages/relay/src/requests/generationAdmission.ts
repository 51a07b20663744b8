import {
  EngineClass,
  sampleForLoadQuery,
  chooseTrialEndpoint,
} from '@lilacledge/policy';
import type {QueuePosition} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';
import {fillLimit, rankEngines} from '../endpoints/chooseEngine.js';
import type {
  EngineChoice,
  EngineChoiceContext,
} from '../endpoints/chooseEngine.js';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {SendPermit} from '../endpoints/sendLimits.js';
import {tokensAhead} from '../endpoints/engineUse.js';
import type {EngineUse} from '../endpoints/engineUse.js';
import type {EngineTraits, GenerationSize} from '../model/index.js';
import type {QueriedPrompt} from '../peers/loadQueries.js';
import type {CallerExchange, Urgency} from './callerExchange.js';
import {engineClassOf, enginePriorityOf} from './engineClass.js';
import type {Admission, WaiterOutlook} from './admissionQueue.js';
import {FoundRoomTimer} from './foundRoom.js';
import {GenerationForecasts} from './generationForecasts.js';
import {logNoRoom} from './logNoRoom.js';
import {PrefillMeasure} from './prefillMeasure.js';
import {canSendTo, sendLimitRetryMs} from './permittedEndpoints.js';
import {engineTimesAt, engineUseContext} from './relayContext.js';
import type {RelayContext} from './relayContext.js';
import type {ActiveRun} from './runRegistry.js';
import {UrgentRoom} from './urgentRoom.js';

/** Room required besides the prompt, for the output of the first seconds. */
const OUTPUT_RESERVE_TOKENS = 200;

const NO_ENDPOINTS: ReadonlySet<string> = new Set();

/** The engine that a generation was admitted to, or when its caller should retry. */
export type AdmissionResult =
  | {readonly kind: 'engine'; readonly permit: SendPermit}
  | {readonly kind: 'refused'; readonly retryAfterMs: number};

/** A reservation at one engine, and the candidates to query, one of which may prove better. */
export interface EngineReservation {
  readonly choice: EngineChoice;
  readonly permit: SendPermit;
  readonly toQuery: readonly Endpoint[];
}

/** Finds and reserves room at an engine for one generation. */
export class GenerationAdmission {
  /** How long the generation takes at the engines of its service. */
  readonly forecasts: GenerationForecasts;
  private reservedTokens = 0;
  private readonly engineClass: EngineClass | undefined;
  /** Measures the prefill at the engine where room is reserved. */
  private prefill: PrefillMeasure | undefined;
  private readonly urgentRoom: UrgentRoom;
  private readonly foundRoom: FoundRoomTimer;

  constructor(
    private readonly context: RelayContext,
    private readonly exchange: CallerExchange,
    private readonly traits: EngineTraits,
    private readonly size: GenerationSize,
  ) {
    this.forecasts = new GenerationForecasts(context, exchange, traits, size);
    this.engineClass = engineClassOf(context, exchange);
    this.urgentRoom = new UrgentRoom(
      context,
      exchange.allowed.service,
      traits,
      this.engineClass,
    );
    this.foundRoom = new FoundRoomTimer(context.clock);
  }

  /** Waits for room at an engine as long as room is likely to become free in time. */
  async admit(rejectedBy: ReadonlySet<string>): Promise<AdmissionResult> {
    this.forecasts.promptSizes.note(this.size.promptTokens);
    this.urgentRoom.noteArrived(this.needTokens);
    const retryAfterMs = sendLimitRetryMs(this.context, this.exchange.allowed);
    if (
      retryAfterMs !== undefined &&
      retryAfterMs > this.forecasts.longestWaitMs
    ) {
      return {kind: 'refused', retryAfterMs};
    }
    for (;;) {
      const admitted = await this.tryAdmit(rejectedBy);
      // Other requests took the room; their use is known now, so the wait continues.
      if (admitted !== undefined) return admitted;
    }
  }

  /** Resolves with undefined if an engine that seemed to have room has none. */
  private async tryAdmit(
    rejectedBy: ReadonlySet<string>,
  ): Promise<AdmissionResult | undefined> {
    const {context, exchange, needTokens} = this;
    const {service} = exchange.allowed;
    const position = this.queuePosition();
    const admission = await context.admissionOf(service).admit({
      position,
      organisation: this.competingOrganisation,
      tokens: needTokens,
      signal: exchange.signal,
      tryReserve: (owedTokens) => this.tryReserve(rejectedBy, owedTokens),
      outlook: () => this.outlook(),
    });
    switch (admission.kind) {
      case 'taken': {
        const reservation = await this.reserveByFreshLoad(admission.taken);
        if (reservation === undefined) {
          context.admissionOf(service).noteWithdrawn(needTokens, position);
          return undefined;
        }
        this.logChosen(reservation.choice);
        return {kind: 'engine', permit: reservation.permit};
      }
      case 'refused':
        this.logNoRoom(admission, rejectedBy);
        return {kind: 'refused', retryAfterMs: admission.retryAfterMs};
      case 'callerLeft':
        return {kind: 'refused', retryAfterMs: 0};
      default:
        return assertNever(admission);
    }
  }

  private measurePrefillAt(endpoint: Endpoint): PrefillMeasure {
    const {context, traits, engineClass} = this;
    const pace = {
      notePrefill: (tokens: number, tookMs: number) =>
        engineTimesAt(context, endpoint, traits).notePrefill(tokens, tookMs),
    };
    return new PrefillMeasure(context.clock, pace, engineClass);
  }

  /**
   * The organisation whose share and returns count; undefined on services where no route can
   * wait for another, which are served by ranks alone.
   */
  private get competingOrganisation(): string | undefined {
    if (this.engineClass === undefined) return undefined;
    return this.exchange.allowed.organisation?.name;
  }

  private get urgency(): Urgency {
    const {organisation, route} = this.exchange.urgency;
    const {organisationRanks, routeRanks} = this.context.switches;
    return {
      organisation: organisationRanks ? organisation : 0,
      route: routeRanks ? route : 0,
    };
  }

  private queuePosition(): QueuePosition {
    const {exchange} = this;
    const {route} = exchange.allowed;
    const {urgency} = this;
    return {
      canWait: this.engineClass && this.engineClass === EngineClass.CAN_WAIT,
      organisationRank: urgency.organisation,
      routeRank: urgency.route,
      latestStartMs:
        exchange.lastWrittenMs + route.latencyGoalMs - this.forecasts.prefillMs,
      deadlineMs: exchange.deadlineMs,
    };
  }

  private outlook(): WaiterOutlook {
    const {exchange} = this;
    const {countedPrefillMs} = this.forecasts;
    const {waitedMs} = exchange;
    // Another entry can give room to a generation that this process may not live to finish.
    const goalLeftMs = this.forecasts.wouldOutliveProcess()
      ? 0
      : exchange.allowed.route.latencyGoalMs - waitedMs;
    const canWait = this.engineClass === EngineClass.CAN_WAIT;
    return {waitedMs, prefillMs: countedPrefillMs, goalLeftMs, canWait};
  }

  private logChosen(choice: EngineChoice): void {
    const {context, exchange, size} = this;
    const {endpoint, use, score, candidates, slowness, missChance} = choice;
    const isSpeedKnown = endpoint.speed.isKnown || endpoint.speed.hasToldPace;
    context.log.info('generation.chosen', {
      request: exchange.id,
      endpoint: endpoint.id,
      score: Number(score.toFixed(3)),
      candidates,
      usedTokens: use.usedTokens,
      backlogTokens: use.backlogTokens,
      slowness: isSpeedKnown ? Number(slowness.toFixed(2)) : undefined,
      missChance: isSpeedKnown ? Number(missChance.toFixed(3)) : undefined,
      aheadTokens: this.tokensAhead(use),
      enginePriority: this.queriedPrompt.enginePriority,
      reportAgeMs: use.reportAgeMs && Math.round(use.reportAgeMs),
      promptTokens: size.promptTokens,
      expectedOutputTokens: size.expectedOutputTokens,
      waitedMs: Math.round(exchange.waitedMs),
    });
  }

  private logNoRoom(
    refusal: Extract<Admission<unknown>, {kind: 'refused'}>,
    rejectedBy: ReadonlySet<string>,
  ): void {
    logNoRoom(this.context, this.exchange, {
      traits: this.traits,
      promptTokens: this.size.promptTokens,
      needTokens: this.needTokens,
      urgency: this.urgency,
      reserveShare: this.urgentRoom.reserveShare,
      refusal,
      rejectedBy,
      longestWaitMs: this.forecasts.longestWaitMs,
      choice: this.choiceContext(() => true),
    });
  }

  /** Reserves room at the best candidate until the run itself is counted there. */
  private tryReserve(
    rejectedBy: ReadonlySet<string>,
    owedTokens: number,
  ): EngineReservation | undefined {
    const ranked = this.rankWithRoom(({id}) => !rejectedBy.has(id));
    const {needTokens, foundRoom} = this;
    if (foundRoom.leavesRoom(ranked.length, needTokens, owedTokens)) {
      return undefined;
    }
    const drawn = this.drawCandidates(ranked);
    const [choice] = drawn.sort((a, b) => a.score - b.score);
    if (choice === undefined) return undefined;
    const permit = this.reserve(choice);
    return {choice, permit, toQuery: drawn.map(({endpoint}) => endpoint)};
  }

  /** Chooses the engines to query from `ranked`, which has the best first. */
  private drawCandidates(ranked: readonly EngineChoice[]): EngineChoice[] {
    const {context, exchange} = this;
    if (context.suspicions.isSuspected(exchange)) {
      const nowMs = context.clock.nowMs();
      const candidate = chooseTrialEndpoint(
        ranked.map((choice) => ({
          choice,
          usedTokens: choice.use.usedTokens,
          isDoubted: choice.endpoint.health.isDoubted(nowMs),
        })),
      );
      return candidate === undefined ? [] : [candidate.choice];
    }
    return context.switches.freshLook
      ? sampleForLoadQuery(ranked, context.random)
      : ranked.slice(0, 1);
  }

  /**
   * Queries the current loads of the candidates and moves the reservation to the best one.
   * Resolves with undefined if none of them has room any more.
   */
  private async reserveByFreshLoad(
    taken: EngineReservation,
  ): Promise<EngineReservation | undefined> {
    const {context, queriedPrompt: prompt} = this;
    if (!context.switches.freshLook) return taken;
    const {permit, toQuery} = taken;
    await context.queryLoads(toQuery, prompt);
    this.release(permit.endpoint);
    context.sendLimits.release(permit);
    const [best] = this.rankWithRoom((endpoint) => toQuery.includes(endpoint));
    const others = toQuery.filter((endpoint) => endpoint !== best?.endpoint);
    context.releaseLoads(others, prompt);
    return best && {choice: best, permit: this.reserve(best), toQuery};
  }

  private get queriedPrompt(): QueriedPrompt {
    const {context, exchange, size} = this;
    return {
      requestId: exchange.id,
      promptTokens: size.promptTokens,
      enginePriority: enginePriorityOf(context, exchange),
    };
  }

  /** Prompt tokens that an engine prefills before this generation. */
  private tokensAhead(use: EngineUse): number {
    return tokensAhead(use, this.engineClass === EngineClass.URGENT);
  }

  /** The engines that have room, best first. */
  private rankWithRoom(
    accepts: (endpoint: Endpoint) => boolean,
  ): EngineChoice[] {
    return rankEngines(
      this.engines,
      this.traits,
      this.needTokens,
      NO_ENDPOINTS,
      this.choiceContext(accepts),
    );
  }

  private get engines(): Iterable<Endpoint> {
    const {context, exchange} = this;
    return context.endpoints.ofService(exchange.allowed.service);
  }

  /** Engine memory that the generation needs. */
  private get needTokens(): number {
    return this.size.promptTokens + OUTPUT_RESERVE_TOKENS;
  }

  private choiceContext(
    accepts: (endpoint: Endpoint) => boolean,
  ): EngineChoiceContext {
    const {context, exchange} = this;
    return {
      ...engineUseContext(context),
      pace: this.forecasts.pace,
      events: this.forecasts.events,
      fillLimit: fillLimit(this.urgency, this.urgentRoom.reserveShare),
      keepsRoomForLeaving: context.switches.roomForLeaving,
      wait: {
        usualPromptTokens: this.forecasts.promptSizes.usualTokens,
        waitedShare: this.forecasts.waitedShare,
      },
      isUrgent: this.engineClass === EngineClass.URGENT,
      overtakenFactor: this.urgentRoom.overtakenFactor(this.forecasts.pace),
      maxWaitMs: (times) => this.forecasts.longestWaitAt(times),
      accepts: (endpoint) =>
        accepts(endpoint) &&
        canSendTo(context, exchange.allowed, endpoint) &&
        this.forecasts.mayEndBeforeExit(endpoint),
    };
  }

  private reserve(choice: EngineChoice): SendPermit {
    const {context, size} = this;
    this.reservedTokens = size.promptTokens;
    choice.endpoint.incomingTokens += this.reservedTokens;
    this.prefill = this.measurePrefillAt(choice.endpoint);
    this.prefill.begin(this.tokensAhead(choice.use), size.promptTokens);
    return context.sendLimits.acquire(choice.endpoint);
  }

  /** Cancels the reservation: nothing is sent to the engine. */
  withdraw(permit: SendPermit): void {
    const {context} = this;
    const {endpoint} = permit;
    this.release(endpoint);
    this.prefill?.cancel();
    context.sendLimits.release(permit);
    context.releaseLoads([endpoint], this.queriedPrompt);
  }

  /** The first event arrived from the engine where room was reserved. */
  noteFirstEvent(): void {
    this.prefill?.noteFirstEvent();
  }

  /** The run holds no engine memory any more. */
  noteRunEnded(run: ActiveRun): void {
    this.urgentRoom.noteEnded(run);
  }

  /** Releases the reserved memory once the run itself is counted, or is not sent. */
  release(endpoint: Endpoint): void {
    endpoint.incomingTokens -= this.reservedTokens;
    this.reservedTokens = 0;
  }
}
