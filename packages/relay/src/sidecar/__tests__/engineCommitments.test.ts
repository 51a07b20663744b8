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

describe('what an engine has taken on', () => {
  it('has prompts that wait in its queue, and in no memory yet', () => {
    sent.set('a', {promptTokens: 1_939});
    sent.set('b', {promptTokens: 1_989});
    sent.set('c', {promptTokens: 5_220});
    // The first is being read: it is in memory and has no row.
    expect(commitments.load(report(1_960))).toMatchObject({
      promptBacklogTokens: 9_148,
      memoryUsedTokens: 1_960 + 9_148 - 1_960,
    });
  });

  it('has no prompt twice that was read', () => {
    sent.set('a', {promptTokens: 3_000});
    const run = {requestId: 'a', memoryTokens: 3_040, eventsMade: 10};
    expect(commitments.load(report(3_100, [run]))).toMatchObject({
      promptBacklogTokens: 0,
      memoryUsedTokens: 3_100,
    });
  });

  it('has what others are about to send, for those who ask', () => {
    commitments.noteAsked('a', 2_000);
    commitments.noteAsked('b', 500);
    expect(commitments.loadForAsker(report(0))).toMatchObject({
      promptBacklogTokens: 2_500,
      memoryUsedTokens: 2_500,
    });
    expect(commitments.load(report(0)).promptBacklogTokens).toBe(0);
  });

  it('has a prompt once that was asked for and then sent', () => {
    commitments.noteAsked('a', 2_000);
    commitments.release('a');
    sent.set('a', {promptTokens: 2_000});
    expect(commitments.loadForAsker(report(0)).promptBacklogTokens).toBe(2_000);
  });

  it('does not keep room for an entry that says nothing more', async () => {
    commitments.noteAsked('a', 2_000);
    await clock.advance(200);
    expect(commitments.loadForAsker(report(0)).promptBacklogTokens).toBe(0);
  });
});

describe('eleven prompts that wait at entries when an engine has room again', () => {
  const ENGINE_TOKENS = 20_000;
  const PROMPT_TOKENS = 2_900;

  it('do not all go there', () => {
    let sends = 0;
    for (let entry = 0; entry < 11; entry++) {
      // All ask before the first has sent.
      const load = commitments.loadForAsker(report(9_759));
      commitments.noteAsked(`request-${entry}`, PROMPT_TOKENS);
      if (load.memoryUsedTokens + PROMPT_TOKENS > ENGINE_TOKENS) continue;
      sends++;
    }
    expect(sends).toBe(3);
  });
});
