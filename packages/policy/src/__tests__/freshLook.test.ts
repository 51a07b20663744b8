import {createRandom} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {drawToAsk} from '../freshLook.js';

/*
 * Prompts of two routes come at random to entries that see each engine's backlog as
 * of its last report, and know what they sent there themselves since. Engines read
 * one prompt after the other. What is asked is how long the first event takes.
 */

const ENTRIES = 22;
const ENGINES = 21;
const PROMPTS_PER_S = 38.6;
const TOKENS_PER_MS = 7;
const REPORT_EACH_MS = 367;
const DURATION_MS = 60_000;
const SEEDS = [1, 2, 3];

/** Short answers: two of three prompts; their goal is missed by the late ones. */
const SHORT_SHARE = 0.66;
const SHORT_GOAL_MS = 1_500;

/** One prompt that an engine was sent. */
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
    /** Something that entries also prefer, and that does not change: in tokens. */
    readonly handicapTokens: number,
  ) {}

  backlogTokens(nowMs: number): number {
    return Math.max(0, this.freeMs - nowMs) * TOKENS_PER_MS;
  }

  /** What an entry believes from the last report and its own sends. */
  believedTokens(entry: number, nowMs: number): number {
    while (this.nextReportMs <= nowMs) this.report(this.nextReportMs);
    const own = this.sent.filter(
      (sent) => sent.entry === entry && sent.atMs > this.reportedMs,
    );
    return own.reduce((sum, {tokens}) => sum + tokens, this.reportedTokens);
  }

  /** Time until the prompt that is sent now is read. */
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

/** What a choice sees of one engine. */
interface Candidate {
  readonly engine: QueueEngine;
  readonly believed: number;
}

type Choose = (
  candidates: readonly Candidate[],
  nowMs: number,
  random: Random,
) => QueueEngine;

/** The best by the reports, as all entries see them. */
const bestReported: Choose = (candidates) => ranked(candidates)[0]!.engine;

/** The best of those that were drawn and asked. */
const bestAsked: Choose = (candidates, nowMs, random) => {
  const asked = drawToAsk(ranked(candidates), random);
  const scores = asked.map(({engine}) => ({
    engine,
    score: engine.backlogTokens(nowMs) + engine.handicapTokens,
  }));
  scores.sort((a, b) => a.score - b.score);
  return scores[0]!.engine;
};

function ranked(candidates: readonly Candidate[]): Candidate[] {
  return [...candidates].sort((a, b) => a.believed - b.believed);
}

/** Share of the short answers whose first event is late. */
function lateShare(choose: Choose, handicapTokens: number, seed: number) {
  const random = createRandom(seed);
  const engines = Array.from(
    {length: ENGINES},
    () => new QueueEngine(random() * REPORT_EACH_MS, random() * handicapTokens),
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
      believed:
        engine.believedTokens(entry, nowMs) +
        engine.handicapTokens +
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

describe('prompts of many entries that see the same reports', () => {
  // A full memory against an empty one is 600 ms, of reading: 4,200 tokens.
  describe.each([
    ['backlogs alone', 0],
    ['something that changes slowly', 4_200],
  ])('which hold %s', (_name, handicapTokens) => {
    it.each(SEEDS)(
      'begin in time where engines are asked (seed %i)',
      (seed) => {
        expect(lateShare(bestAsked, handicapTokens, seed)).toBeLessThan(0.01);
      },
    );

    it.each(SEEDS)('pile up on the best by the reports (seed %i)', (seed) => {
      const share = lateShare(bestReported, handicapTokens, seed);
      expect(share).toBeGreaterThan(0.01);
    });
  });
});

describe('the engines that are asked', () => {
  const random = createRandom(1);

  it('are all, where there are few', () => {
    expect(drawToAsk(['a', 'b', 'c'], random).sort()).toEqual(['a', 'b', 'c']);
    expect(drawToAsk([], random)).toEqual([]);
  });

  it('are four different ones of the better half', () => {
    const names = Array.from({length: 20}, (_, index) => index);
    for (let round = 0; round < 50; round++) {
      const drawn = drawToAsk(names, random);
      expect(new Set(drawn).size).toBe(4);
      expect(Math.max(...drawn)).toBeLessThan(10);
    }
  });

  it('differ from draw to draw', () => {
    const names = Array.from({length: 20}, (_, index) => index);
    const draws = Array.from({length: 20}, () =>
      drawToAsk(names, random).sort().join(),
    );
    expect(new Set(draws).size).toBeGreaterThan(10);
  });
});
