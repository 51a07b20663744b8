import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import type {EngineReport, ReportedRun} from '../../model/index.js';
import {EngineCommitments} from '../engineCommitments.js';
import type {SentPrompt} from '../engineCommitments.js';

let clock: VirtualClock;
let sent: Map<string, SentPrompt>;
let commitments: EngineCommitments;

beforeEach(() => {
  clock = new VirtualClock();
  sent = new Map();
  commitments = new EngineCommitments(clock, sent);
});

function report(
  memoryUsedTokens: number,
  runs: readonly ReportedRun[] = [],
): EngineReport {
  return {queued: 0, active: 0, memoryUsedTokens, memoryTokens: 20_000, runs};
}

describe('EngineCommitments', () => {
  it('counts queued prompts that occupy no memory yet', () => {
    sent.set('a', {promptTokens: 1_939});
    sent.set('b', {promptTokens: 1_989});
    sent.set('c', {promptTokens: 5_220});
    // The first is in prefill: it occupies memory and is in no reported run.
    expect(commitments.load(report(1_960))).toMatchObject({
      promptBacklogTokens: 9_148,
      memoryUsedTokens: 1_960 + 9_148 - 1_960,
    });
  });

  it('does not count a prefilled prompt twice', () => {
    sent.set('a', {promptTokens: 3_000});
    const run = {requestId: 'a', memoryTokens: 3_040, eventsMade: 10};
    expect(commitments.load(report(3_100, [run]))).toMatchObject({
      promptBacklogTokens: 0,
      memoryUsedTokens: 3_100,
    });
  });

  it('includes the reservations of other requests in the answer to a query', () => {
    commitments.reserve('a', 2_000);
    commitments.reserve('b', 500);
    expect(commitments.loadForQuery(report(0))).toMatchObject({
      promptBacklogTokens: 2_500,
      memoryUsedTokens: 2_500,
    });
    expect(commitments.load(report(0)).promptBacklogTokens).toBe(0);
  });

  it('counts a prompt once that was reserved and then sent', () => {
    commitments.reserve('a', 2_000);
    commitments.release('a');
    sent.set('a', {promptTokens: 2_000});
    expect(commitments.loadForQuery(report(0)).promptBacklogTokens).toBe(2_000);
  });

  it('drops a reservation that no entry releases', async () => {
    commitments.reserve('a', 2_000);
    await clock.advance(200);
    expect(commitments.loadForQuery(report(0)).promptBacklogTokens).toBe(0);
  });
});

// Guards against a thundering herd: when an engine frees memory, all entries query it at once.
describe('eleven prompts that wait at entries when an engine frees memory', () => {
  const ENGINE_TOKENS = 20_000;
  const PROMPT_TOKENS = 2_900;

  it('are not all sent to it', () => {
    let sends = 0;
    for (let entry = 0; entry < 11; entry++) {
      // All query the load before the first prompt is sent.
      const load = commitments.loadForQuery(report(9_759));
      commitments.reserve(`request-${entry}`, PROMPT_TOKENS);
      if (load.memoryUsedTokens + PROMPT_TOKENS > ENGINE_TOKENS) continue;
      sends++;
    }
    expect(sends).toBe(3);
  });
});
