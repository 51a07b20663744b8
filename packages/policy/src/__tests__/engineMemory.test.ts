import {describe, expect, it} from 'vitest';
import {hasMemoryFor} from '../engineMemory.js';
import {simulateFullEngines} from './fullEngines.js';
import type {SimulatedPrompt} from './fullEngines.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** Engines for three quarters, five sixths and most of the load. */
const ENGINE_COUNTS = [15, 17, 19];

function servedShare(prompts: readonly SimulatedPrompt[]): number {
  const served = prompts.filter((prompt) => prompt.firstEventMs !== undefined);
  return served.length / prompts.length;
}

/** Served share of the prompts in a range of lengths, relative to that of all. */
function relativeServedShare(
  prompts: readonly SimulatedPrompt[],
  from: number,
  to: number,
): number {
  const bySize = [...prompts].sort((a, b) => a.tokens - b.tokens);
  const part = bySize.slice(from * bySize.length, to * bySize.length);
  return servedShare(part) / servedShare(prompts);
}

// Guards against starvation of long prompts: short ones take each piece of memory that an
// engine frees, so that there is never enough for a long one.
describe('long prompts on full engines', () => {
  it.each(['drafts', 'checks'] as const)(
    'are served at least half as often as all %s',
    (route) => {
      for (const engineCount of ENGINE_COUNTS) {
        const prompts = SEEDS.flatMap((seed) =>
          simulateFullEngines(seed, engineCount),
        ).filter((prompt) => prompt.route === route);
        expect(relativeServedShare(prompts, 0.9, 1)).toBeGreaterThan(0.5);
        expect(relativeServedShare(prompts, 0.7, 0.9)).toBeGreaterThan(0.5);
      }
    },
  );
});

describe('hasMemoryFor', () => {
  const fresh = {usualPromptTokens: 2_500, waitedShare: 0};

  it('admits what fits into the usable memory', () => {
    const memory = {usedTokens: 15_000, usableTokens: 20_000};
    expect(hasMemoryFor(memory, {...fresh, tokens: 5_000})).toBe(true);
    expect(hasMemoryFor(memory, {...fresh, tokens: 5_001})).toBe(false);
  });

  describe('after a long wait', () => {
    const waited = {usualPromptTokens: 2_500, waitedShare: 1};

    it('admits a long prompt that lacks as much as it is longer than usual', () => {
      const memory = {usedTokens: 17_500, usableTokens: 20_000};
      expect(hasMemoryFor(memory, {...waited, tokens: 4_000})).toBe(true);
      expect(hasMemoryFor(memory, {...fresh, tokens: 4_000})).toBe(false);
    });

    it('admits no prompt that lacks more than a usual prompt', () => {
      const memory = {usedTokens: 17_500, usableTokens: 20_000};
      expect(hasMemoryFor(memory, {...waited, tokens: 5_000})).toBe(true);
      expect(hasMemoryFor(memory, {...waited, tokens: 5_001})).toBe(false);
    });

    it('admits a usual prompt only if it fits', () => {
      const memory = {usedTokens: 17_501, usableTokens: 20_000};
      expect(hasMemoryFor(memory, {...waited, tokens: 2_500})).toBe(false);
    });
  });
});
