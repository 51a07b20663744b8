import {createRandom} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {PromptSizes} from '../promptSizes.js';

const ENGINES = 21;
const TOKENS_PER_MS = 7;
const GOAL_MS = 1_500;
/** 1.4 times the engines' capacity. */
const PROMPTS_PER_S = 80;
const DURATION_MS = 60_000;
const SEEDS = [1, 2, 3];

interface Prompt {
  readonly tokens: number;
  readonly isServed: boolean;
}

/** Returns the tokens of a prompt that count against the goal. */
type CountTokens = (tokens: number) => number;

/** Sends each prompt to the engine with the shortest queue, if it meets the goal. */
function serve(countTokens: CountTokens, random: Random): Prompt[] {
  const freeMs = new Array<number>(ENGINES).fill(0);
  const prompts: Prompt[] = [];
  for (let nowMs = 0; nowMs < DURATION_MS;) {
    nowMs += (-Math.log(1 - random()) * 1_000) / PROMPTS_PER_S;
    const tokens = drawTokens(random);
    const engine = freeMs.indexOf(Math.min(...freeMs));
    const waitMs = Math.max(0, freeMs[engine]! - nowMs);
    const isServed = waitMs + countTokens(tokens) / TOKENS_PER_MS <= GOAL_MS;
    if (isServed) freeMs[engine] = nowMs + waitMs + tokens / TOKENS_PER_MS;
    prompts.push({tokens, isServed});
  }
  return prompts;
}

function drawTokens(random: Random): number {
  const angle = 2 * Math.PI * random();
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(angle);
  return 350 + Math.min(6_000, 2_200 * Math.exp(0.6 * normal - 0.18));
}

/** Served share of the longest tenth, relative to that of all prompts. */
function relativeServedShare(prompts: readonly Prompt[]): number {
  const bySize = [...prompts].sort((a, b) => b.tokens - a.tokens);
  const longest = bySize.slice(0, Math.floor(bySize.length / 10));
  return servedShare(longest) / servedShare(prompts);
}

function servedShare(prompts: readonly Prompt[]): number {
  return prompts.filter(({isServed}) => isServed).length / prompts.length;
}

// Guards against starvation of long prompts: if their whole prefill counts against the
// goal, none of them is admitted while queues are long.
describe('long prompts under overload', () => {
  it.each(SEEDS)('are served nearly as often as others (seed %i)', (seed) => {
    const sizes = new PromptSizes();
    const countTokens = (tokens: number): number => {
      sizes.note(tokens);
      return sizes.cappedTokens(tokens);
    };
    const share = relativeServedShare(serve(countTokens, createRandom(seed)));
    expect(share).toBeGreaterThan(0.5);
  });

  it.each(SEEDS)('starve if their whole length counts (seed %i)', (seed) => {
    const prompts = serve((tokens) => tokens, createRandom(seed));
    expect(relativeServedShare(prompts)).toBeLessThan(0.5);
  });
});

describe('cappedTokens', () => {
  it('follows the lengths of recent prompts', () => {
    const sizes = new PromptSizes();
    for (let count = 0; count < 400; count++) sizes.note(200);
    expect(sizes.cappedTokens(5_000)).toBeLessThan(400);
    expect(sizes.cappedTokens(100)).toBe(100);
  });
});
