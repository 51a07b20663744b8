import {createRandom} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {sampleForLoadQuery} from '../freshLook.js';

/*
 * Guards against herding: entries that rank engines by the same reports, which are some
 * hundred milliseconds old, send their prompts to the same engine until its next report.
 *
 * Simulates prompts of two routes that arrive at random entries. An entry knows the
 * backlog of each engine at its last report and the prompts that it has sent since.
 * Engines prefill one prompt after the other. Measured is the time to the first event.
 */

const ENTRIES = 22;
const ENGINES = 21;
const PROMPTS_PER_S = 38.6;
const TOKENS_PER_MS = 7;
const REPORT_EACH_MS = 367;
const DURATION_MS = 60_000;
const SEEDS = [1, 2, 3];

/** Share of the prompts with a short output; only these have a latency goal. */
const SHORT_SHARE = 0.66;
const SHORT_GOAL_MS = 1_500;

/** A prompt that was sent to an engine. */
interface Sent {
  readonly atMs: number;
  readonly tokens: number;
  readonly entry: number;
}

class QueueEngine {
  private freeMs = 0;
  private sent: Sent[] = [];
  private reportedMs = 0;
  private reportedTokens = 0;

  constructor(
    private nextReportMs: number,
    /** A constant penalty in the ranking, such as used memory, in tokens. */
    readonly penaltyTokens: number,
  ) {}

  backlogTokens(nowMs: number): number {
    return Math.max(0, this.freeMs - nowMs) * TOKENS_PER_MS;
  }

  /** The entry's estimate from the last report and its own sends. */
  estimatedTokens(entry: number, nowMs: number): number {
    while (this.nextReportMs <= nowMs) this.report(this.nextReportMs);
    const ownSends = this.sent.filter(
      (sent) => sent.entry === entry && sent.atMs > this.reportedMs,
    );
    return ownSends.reduce(
      (sum, {tokens}) => sum + tokens,
      this.reportedTokens,
    );
  }

  /** Returns the time until the prompt's prefill is complete. */
  send(prompt: Sent): number {
    this.sent.push(prompt);
    const startMs = Math.max(this.freeMs, prompt.atMs);
    this.freeMs = startMs + prompt.tokens / TOKENS_PER_MS;
    return this.freeMs - prompt.atMs;
  }

  private report(atMs: number): void {
    let freeMs = 0;
    for (const {atMs: sentMs, tokens} of this.sent) {
      if (sentMs > atMs) break;
      freeMs = Math.max(freeMs, sentMs) + tokens / TOKENS_PER_MS;
    }
    this.reportedTokens = Math.max(0, freeMs - atMs) * TOKENS_PER_MS;
    this.reportedMs = atMs;
    this.nextReportMs += REPORT_EACH_MS;
    this.sent = this.sent.slice(-40);
  }
}

/** An engine with its estimated load. */
interface Candidate {
  readonly engine: QueueEngine;
  readonly estimatedTokens: number;
}

type Choose = (
  candidates: readonly Candidate[],
  nowMs: number,
  random: Random,
) => QueueEngine;

/** Chooses the best engine by the last reports, which all entries share. */
const bestReported: Choose = (candidates) => ranked(candidates)[0]!.engine;

/** Chooses the best engine of a sample, by its current load. */
const bestQueried: Choose = (candidates, nowMs, random) => {
  const queried = sampleForLoadQuery(ranked(candidates), random);
  const scores = queried.map(({engine}) => ({
    engine,
    score: engine.backlogTokens(nowMs) + engine.penaltyTokens,
  }));
  scores.sort((a, b) => a.score - b.score);
  return scores[0]!.engine;
};

function ranked(candidates: readonly Candidate[]): Candidate[] {
  return [...candidates].sort((a, b) => a.estimatedTokens - b.estimatedTokens);
}

/** Share of the short outputs whose first event misses the goal. */
function lateShare(choose: Choose, penaltyTokens: number, seed: number) {
  const random = createRandom(seed);
  const engines = Array.from(
    {length: ENGINES},
    () => new QueueEngine(random() * REPORT_EACH_MS, random() * penaltyTokens),
  );
  let late = 0;
  let short = 0;
  for (let nowMs = 0; nowMs < DURATION_MS;) {
    nowMs += (-Math.log(1 - random()) * 1_000) / PROMPTS_PER_S;
    const isShort = random() < SHORT_SHARE;
    const entry = Math.floor(random() * ENTRIES);
    const tokens = isShort
      ? 350 + logNormal(random, 2_200, 0.6)
      : 79 + logNormal(random, 3_000, 0.35);
    const candidates = engines.map((engine) => ({
      engine,
      estimatedTokens:
        engine.estimatedTokens(entry, nowMs) +
        engine.penaltyTokens +
        random() * 35,
    }));
    const engine = choose(candidates, nowMs, random);
    const tookMs = engine.send({atMs: nowMs, tokens, entry});
    if (!isShort) continue;
    short++;
    if (tookMs > SHORT_GOAL_MS) late++;
  }
  return late / short;
}

function logNormal(random: Random, mean: number, spread: number): number {
  const angle = 2 * Math.PI * random();
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(angle);
  const value = mean * Math.exp(spread * normal - spread ** 2 / 2);
  return Math.min(6_000, value);
}

describe('prompts of many entries that share load reports', () => {
  // Full memory costs as much as a prefill of 600 ms, which is 4,200 tokens.
  describe.each([
    ['only backlogs', 0],
    ['a slowly changing value as well', 4_200],
  ])('that hold %s', (_name, penaltyTokens) => {
    it.each(SEEDS)(
      'start in time if a sample of engines is queried (seed %i)',
      (seed) => {
        expect(lateShare(bestQueried, penaltyTokens, seed)).toBeLessThan(0.01);
      },
    );

    it.each(SEEDS)(
      'pile up on the best reported engine without queries (seed %i)',
      (seed) => {
        const share = lateShare(bestReported, penaltyTokens, seed);
        expect(share).toBeGreaterThan(0.01);
      },
    );
  });
});

describe('sampleForLoadQuery', () => {
  const random = createRandom(1);

  it('returns all engines if there are few', () => {
    expect(sampleForLoadQuery(['a', 'b', 'c'], random).sort()).toEqual([
      'a',
      'b',
      'c',
    ]);
    expect(sampleForLoadQuery([], random)).toEqual([]);
  });

  it('returns four distinct engines of the better half', () => {
    const names = Array.from({length: 20}, (_, index) => index);
    for (let round = 0; round < 50; round++) {
      const sample = sampleForLoadQuery(names, random);
      expect(new Set(sample).size).toBe(4);
      expect(Math.max(...sample)).toBeLessThan(10);
    }
  });

  it('returns a different sample each time', () => {
    const names = Array.from({length: 20}, (_, index) => index);
    const samples = Array.from({length: 20}, () =>
      sampleForLoadQuery(names, random).sort().join(),
    );
    expect(new Set(samples).size).toBeGreaterThan(10);
  });
});
