import {generationDuration, mayBegin} from '@lilacledge/policy';
import type {
  EngineForecasts,
  EnginePace,
  PromptSizes,
} from '@lilacledge/policy';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {EventOutlook} from '../endpoints/engineTimes.js';
import type {EngineTraits, GenerationSize} from '../model/index.js';
import type {CallerExchange} from './callerExchange.js';
import {engineTimesAt} from './relayContext.js';
import type {RelayContext} from './relayContext.js';

/** Forecasts of how long one generation takes at the engines of its service. */
export class GenerationForecasts {
  constructor(
    private readonly context: RelayContext,
    private readonly exchange: CallerExchange,
    private readonly traits: EngineTraits,
    private readonly size: GenerationSize,
  ) {}

  /** True when this process may exit before the generation finishes at any engine. */
  wouldOutliveProcess(): boolean {
    if (this.context.closing.endsAtMs === Infinity) return false;
    const {service} = this.exchange.allowed;
    const engines = [...this.context.endpoints.ofService(service)];
    const times: EngineForecasts[] = engines
      .filter(({isCandidate}) => isCandidate)
      .map((endpoint) => engineTimesAt(this.context, endpoint, this.traits));
    if (times.length === 0) times.push(this.pace);
    return !times.some((forecasts) => this.endsBeforeExit(forecasts));
  }

  /** False for an engine that is known to be too slow to finish before the process exits. */
  mayEndBeforeExit(endpoint: Endpoint): boolean {
    const {context, traits} = this;
    const isClosing = context.closing.endsAtMs !== Infinity;
    const {isKnown, serviceTellsPace} = endpoint.speed;
    if (!isClosing || !(isKnown || serviceTellsPace)) return true;
    return this.endsBeforeExit(engineTimesAt(context, endpoint, traits));
  }

  private endsBeforeExit(forecasts: EngineForecasts): boolean {
    const {context, exchange, size} = this;
    const {promptTokens, maxOutputTokens} = size;
    const duration = generationDuration(
      {
        promptTokens,
        expectedOutputTokens: size.expectedOutputTokens ?? maxOutputTokens / 2,
        maxOutputTokens,
        longestSilenceMs: exchange.answerTimeLeftMs,
      },
      forecasts,
    );
    return mayBegin(context.closing, context.clock.nowMs(), duration);
  }

  /** Prefill time of the prompt at a usual engine that is idle. */
  get prefillMs(): number {
    return this.pace.prefillMs(this.size.promptTokens);
  }

  /** Pace of a usual engine of the service. */
  get pace(): EnginePace {
    return this.context.paceOf(this.exchange.allowed.service);
  }

  get promptSizes(): PromptSizes {
    return this.context.promptSizesOf(this.exchange.allowed.service);
  }

  /** Prefill time that counts against the latency goal: at most that of a usual prompt. */
  get countedPrefillMs(): number {
    return this.countedPrefillAt(this.pace);
  }

  /** Time waited, divided by the longest wait with which the goal can be met. */
  get waitedShare(): number {
    const {waitedMs} = this.exchange;
    const longestMs = waitedMs + this.longestWaitMs;
    return longestMs <= 0 ? 1 : Math.min(1, waitedMs / longestMs);
  }

  /**
   * Maximum wait at a usual engine for which the next event counts as within the goal. A stream
   * that starts over has the goal of a first event again.
   */
  get longestWaitMs(): number {
    return this.longestWaitAt(this.pace);
  }

  /** Maximum wait at an engine with these times. */
  longestWaitAt(times: EngineForecasts): number {
    const {waitedMs, allowed} = this.exchange;
    const goalLeftMs = allowed.route.latencyGoalMs - waitedMs;
    return goalLeftMs - this.countedPrefillAt(times);
  }

  /** The events that the run is expected to produce; the estimate is often far off. */
  get events(): EventOutlook {
    const {context, exchange, size, traits} = this;
    const {maxOutputTokens, expectedOutputTokens} = size;
    const expectedTokens = expectedOutputTokens ?? maxOutputTokens / 2;
    const tokens = Math.min(expectedTokens, maxOutputTokens);
    return {
      risk: context.pauseRiskOf(exchange.allowed.service),
      pauseGoalMs: exchange.allowed.route.pauseGoalMs,
      events: Math.ceil(tokens / traits.tokensPerEvent),
    };
  }

  private countedPrefillAt(times: EngineForecasts): number {
    const {promptSizes, size} = this;
    return times.prefillMs(promptSizes.cappedTokens(size.promptTokens));
  }
}
