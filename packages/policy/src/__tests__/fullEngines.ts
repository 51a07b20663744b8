import {createRandom} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {hasMemoryFor} from '../engineMemory.js';
import {DrainRate} from '../drainRate.js';
import {sampleForLoadQuery} from '../freshLook.js';
import {PromptSizes} from '../promptSizes.js';
import {decideRoom} from '../roomWait.js';
import {compareWaiting} from '../waitingOrder.js';

/*
 * Simulates entries that admit prompts of two routes to engines without enough memory for
 * all of them. Engines prefill one prompt after the other and begin no later prompt while
 * the first in their queue waits for memory.
 */

const ENTRIES = 22;

const MEMORY_TOKENS = 21_869;
const TOKENS_PER_MS = 7;
const OUTPUT_TOKEN_MS = 10;
const OUTPUT_RESERVE_TOKENS = 200;
const FULL_ENGINE_PENALTY_MS = 600;
const STEP_MS = 40;
const DURATION_MS = 40_000;

interface RouteLoad {
  readonly perSecond: number;
  readonly goalMs: number;
  readonly deadlineMs: number;
  readonly meanPromptTokens: number;
  /** Standard deviation of the logarithm of the prompt length. */
  readonly spread: number;
  readonly meanOutputTokens: number;
  readonly rank: number;
  readonly fillLimit: number;
}

const DRAFTS: RouteLoad = {
  perSecond: 13,
  goalMs: 1_800,
  deadlineMs: 39_000,
  meanPromptTokens: 3_000,
  spread: 0.35,
  meanOutputTokens: 744,
  rank: 0,
  fillLimit: 0.95,
};
const CHECKS: RouteLoad = {
  perSecond: 25,
  goalMs: 1_500,
  deadlineMs: 6_000,
  meanPromptTokens: 2_200,
  spread: 0.6,
  meanOutputTokens: 12,
  rank: 1,
  fillLimit: 0.9,
};

/** Outcome of one prompt. */
export interface SimulatedPrompt {
  readonly route: 'drafts' | 'checks';
  readonly tokens: number;
  readonly arrivedMs: number;
  /** Undefined if it was refused. */
  firstEventMs: number | undefined;
}

interface Waiting {
  readonly prompt: SimulatedPrompt;
  readonly load: RouteLoad;
  readonly outputTokens: number;
}

class SimulatedEngine {
  private running: Array<{readonly tokens: number; readonly endsMs: number}> =
    [];
  private queue: Waiting[] = [];
  private freeMs = 0;

  /** Memory of the running prompts and of those that wait at the engine. */
  get committedTokens(): number {
    const queued = this.queue.reduce((sum, {prompt}) => sum + prompt.tokens, 0);
    return this.usedTokens + queued;
  }

  get usedTokens(): number {
    return this.running.reduce((sum, {tokens}) => sum + tokens, 0);
  }

  backlogMs(nowMs: number): number {
    const queued = this.queue.reduce((sum, {prompt}) => sum + prompt.tokens, 0);
    return Math.max(0, this.freeMs - nowMs) + queued / TOKENS_PER_MS;
  }

  send(waiting: Waiting): void {
    this.queue.push(waiting);
  }

  advance(nowMs: number): void {
    this.running = this.running.filter(({endsMs}) => endsMs > nowMs);
    for (;;) {
      const [first] = this.queue;
      if (first === undefined) return;
      const {prompt, outputTokens} = first;
      if (this.usedTokens + prompt.tokens > MEMORY_TOKENS) return;
      this.queue.shift();
      this.freeMs =
        Math.max(this.freeMs, nowMs) + prompt.tokens / TOKENS_PER_MS;
      prompt.firstEventMs = this.freeMs;
      const endsMs = this.freeMs + outputTokens * OUTPUT_TOKEN_MS;
      this.running.push({tokens: prompt.tokens + outputTokens, endsMs});
    }
  }
}

/** The requests that wait at one entry. */
class SimulatedEntry {
  private waiting: Waiting[] = [];
  private readonly drain = new DrainRate();
  private readonly sizes = new PromptSizes();

  constructor(
    private readonly engines: readonly SimulatedEngine[],
    private readonly random: Random,
  ) {}

  add(waiting: Waiting): void {
    this.sizes.note(waiting.prompt.tokens);
    this.waiting.push(waiting);
  }

  advance(nowMs: number): void {
    if (this.waiting.length === 0) return;
    this.waiting.sort((a, b) =>
      compareWaiting(this.position(a), this.position(b), nowMs),
    );
    let admittedTokens = 0;
    let aheadTokens = 0;
    this.waiting = this.waiting.filter((item) => {
      const needTokens = item.prompt.tokens + OUTPUT_RESERVE_TOKENS;
      const engine = this.chooseEngine(item, nowMs);
      if (engine !== undefined) {
        engine.send(item);
        admittedTokens += needTokens;
        return false;
      }
      aheadTokens += needTokens;
      const expectedWaitMs = this.drain.expectedWaitMs(aheadTokens);
      return this.mayWait(item, nowMs, expectedWaitMs);
    });
    this.drain.note(STEP_MS, admittedTokens);
  }

  private position({load, prompt}: Waiting) {
    const {arrivedMs, tokens} = prompt;
    return {
      organisationRank: 0,
      routeRank: load.rank,
      latestStartMs: arrivedMs + load.goalMs - tokens / TOKENS_PER_MS,
      deadlineMs: arrivedMs + load.deadlineMs,
    };
  }

  private countedPrefillMs({prompt}: Waiting): number {
    return this.sizes.cappedTokens(prompt.tokens) / TOKENS_PER_MS;
  }

  private goalLeftMs({load, prompt}: Waiting, nowMs: number): number {
    return prompt.arrivedMs + load.goalMs - nowMs;
  }

  private waitedShare(item: Waiting, nowMs: number): number {
    const {arrivedMs} = item.prompt;
    const longestMs = item.load.goalMs - this.countedPrefillMs(item);
    return Math.min(1, (nowMs - arrivedMs) / longestMs);
  }

  private chooseEngine(
    item: Waiting,
    nowMs: number,
  ): SimulatedEngine | undefined {
    const {load, prompt} = item;
    const demand = {
      tokens: prompt.tokens + OUTPUT_RESERVE_TOKENS,
      usualPromptTokens: this.sizes.usualTokens,
      waitedShare: this.waitedShare(item, nowMs),
    };
    const usableTokens = load.fillLimit * MEMORY_TOKENS;
    const maxWaitMs =
      this.goalLeftMs(item, nowMs) - this.countedPrefillMs(item);
    const withRoom = this.engines
      .filter(({committedTokens: usedTokens}) =>
        hasMemoryFor({usedTokens, usableTokens}, demand),
      )
      .filter((engine) => engine.backlogMs(nowMs) <= maxWaitMs)
      .map((engine) => ({engine, score: this.score(engine, nowMs)}))
      .sort((a, b) => a.score - b.score);
    const sample = sampleForLoadQuery(withRoom, this.random);
    return sample.sort((a, b) => a.score - b.score)[0]?.engine;
  }

  private score(engine: SimulatedEngine, nowMs: number): number {
    const fill = engine.committedTokens / MEMORY_TOKENS;
    return engine.backlogMs(nowMs) + fill * FULL_ENGINE_PENALTY_MS;
  }

  private mayWait(
    item: Waiting,
    nowMs: number,
    expectedWaitMs: number,
  ): boolean {
    const decision = decideRoom(
      {
        expectedWaitMs,
        waitedMs: nowMs - item.prompt.arrivedMs,
        shortForMs: 0,
        prefillMs: this.countedPrefillMs(item),
        goalLeftMs: this.goalLeftMs(item, nowMs),
      },
      this.random,
    );
    return decision.kind === 'wait';
  }
}

/** Simulates entries and `engineCount` engines; returns all prompts in order of arrival. */
export function simulateFullEngines(
  seed: number,
  engineCount: number,
): SimulatedPrompt[] {
  const random = createRandom(seed);
  const engines = Array.from(
    {length: engineCount},
    () => new SimulatedEngine(),
  );
  const entries = Array.from(
    {length: ENTRIES},
    () => new SimulatedEntry(engines, random),
  );
  const prompts: SimulatedPrompt[] = [];
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    for (const engine of engines) engine.advance(nowMs);
    for (const [route, load] of [
      ['drafts', DRAFTS],
      ['checks', CHECKS],
    ] as const) {
      const arrivals = drawCount((load.perSecond * STEP_MS) / 1_000, random);
      for (let count = 0; count < arrivals; count++) {
        const tokens = drawTokens(load, random);
        const prompt: SimulatedPrompt = {
          route,
          tokens,
          arrivedMs: nowMs,
          firstEventMs: undefined,
        };
        prompts.push(prompt);
        const outputTokens = -Math.log(1 - random()) * load.meanOutputTokens;
        const entry = entries[Math.floor(random() * ENTRIES)]!;
        entry.add({prompt, load, outputTokens});
      }
    }
    for (const entry of entries) entry.advance(nowMs);
  }
  return prompts;
}

/** Draws from a Poisson distribution with a small mean. */
function drawCount(mean: number, random: Random): number {
  let count = 0;
  let product = random();
  while (product > Math.exp(-mean)) {
    count++;
    product *= random();
  }
  return count;
}

function drawTokens({meanPromptTokens, spread}: RouteLoad, random: Random) {
  const angle = 2 * Math.PI * random();
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(angle);
  const factor = Math.exp(spread * normal - spread ** 2 / 2);
  return 350 + Math.min(6_000, meanPromptTokens * factor);
}
