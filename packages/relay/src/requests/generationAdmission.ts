import {
  chooseEngine,
  fillLimit,
  PROMPT_TOKENS_PER_MS,
} from '../endpoints/chooseEngine.js';
import type {EngineChoice} from '../endpoints/chooseEngine.js';
import type {Endpoint} from '../endpoints/endpoint.js';
import {engineUse} from '../endpoints/engineUse.js';
import type {EngineTraits, GenerationSize} from '../model/index.js';
import type {CallerExchange} from './callerExchange.js';
import {engineUseContext} from './relayContext.js';
import type {RelayContext} from './relayContext.js';

/**
 * Part of the latency goal in which a request waits for room. A refusal within
 * a quarter of the goal lets the caller come back and still be served in time.
 */
const ADMISSION_GOAL_SHARE = 0.22;

/** Room for the output of the first seconds, besides the prompt. */
const GROWTH_TOKENS = 200;

/** Time that an engine takes for an output token beside other work. */
const TOKEN_MS = 10;

/** The same beside a full engine's work, for what must not be cut at all. */
const SLOW_TOKEN_MS = 25;

/**
 * From here on after SIGTERM a generation begins only if even its longest
 * output ends in time: one that is taken later than 3 s must not be cut.
 */
const LAST_DRAFT_MS = 2_500;

/** Finds room at an engine for one generation. */
export class GenerationAdmission {
  private takenTokens = 0;

  constructor(
    private readonly context: RelayContext,
    private readonly exchange: CallerExchange,
    private readonly traits: EngineTraits,
    private readonly size: GenerationSize,
  ) {}

  /** True when this process ends before the generation is likely to. */
  wouldBeCut(): boolean {
    const {context, size} = this;
    const nowMs = context.clock.nowMs();
    const isLate = nowMs > context.closing.beganAtMs + LAST_DRAFT_MS;
    const expected = size.expectedOutputTokens ?? size.maxOutputTokens / 2;
    const outputMs = isLate
      ? size.maxOutputTokens * SLOW_TOKEN_MS
      : expected * TOKEN_MS;
    const neededMs = size.promptTokens / PROMPT_TOKENS_PER_MS + outputMs;
    return nowMs + neededMs > context.closing.endsAtMs;
  }

  /** Waits for room at an engine; undefined when none came in time. */
  async admit(rejectedBy: ReadonlySet<string>): Promise<Endpoint | undefined> {
    const {context, exchange, size} = this;
    const {service, route, arrivedMs} = exchange.allowed;
    const choice = await context.admissionOf(service).admit({
      urgency: exchange.urgency,
      arrivedMs,
      untilMs: arrivedMs + route.latencyGoalMs * ADMISSION_GOAL_SHARE,
      signal: exchange.signal,
      tryTake: () => this.tryTake(rejectedBy),
    });
    if (choice === undefined) {
      this.logNoRoom();
      return undefined;
    }
    const {endpoint, use, score, candidates} = choice;
    context.log.info('generation.chosen', {
      request: exchange.id,
      endpoint: endpoint.id,
      score: Number(score.toFixed(3)),
      candidates,
      usedTokens: use.usedTokens,
      backlogTokens: use.backlogTokens,
      reportAgeMs: use.reportAgeMs && Math.round(use.reportAgeMs),
      promptTokens: size.promptTokens,
      expectedOutputTokens: size.expectedOutputTokens,
    });
    return endpoint;
  }

  /** What the engines looked like when none had room. */
  private logNoRoom(): void {
    const {context, exchange, size, traits} = this;
    const staying = [
      ...context.endpoints.ofService(exchange.allowed.service),
    ].filter(({isLeaving}) => !isLeaving);
    const uses = staying.map((endpoint) =>
      engineUse(endpoint, engineUseContext(context)),
    );
    const limit = fillLimit(exchange.urgency);
    context.log.warn('generation.noRoom', {
      request: exchange.id,
      engines: staying.length,
      leastUsedTokens: Math.min(...uses.map(({usedTokens}) => usedTokens)),
      limitTokens: Math.round(limit * traits.memoryTokens),
      leastBacklogTokens: Math.min(...uses.map((use) => use.backlogTokens)),
      oldestReportMs: Math.round(
        Math.max(...uses.map(({reportAgeMs}) => reportAgeMs ?? 0)),
      ),
      promptTokens: size.promptTokens,
      urgency: `${exchange.urgency.organisation}/${exchange.urgency.route}`,
      waitedMs: Math.round(exchange.ageMs),
    });
  }

  /** Takes room at the engine that suits best, until the run is there. */
  private tryTake(rejectedBy: ReadonlySet<string>): EngineChoice | undefined {
    const {context, exchange, size} = this;
    const choice = chooseEngine(
      context.endpoints.ofService(exchange.allowed.service),
      this.traits,
      size.promptTokens + GROWTH_TOKENS,
      rejectedBy,
      {
        ...engineUseContext(context),
        fillLimit: fillLimit(exchange.urgency),
        keepsRoomForLeaving: true,
        maxFirstEventMs: exchange.allowed.route.latencyGoalMs - exchange.ageMs,
      },
    );
    if (choice === undefined) return undefined;
    this.takenTokens = size.promptTokens;
    choice.endpoint.promisedTokens += this.takenTokens;
    return choice;
  }

  /** Gives back what was taken, once the run itself stands for it. */
  release(endpoint: Endpoint): void {
    endpoint.promisedTokens -= this.takenTokens;
    this.takenTokens = 0;
  }
}
