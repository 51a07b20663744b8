import {VirtualClock} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import type {EngineLoadReport} from '../../peers/peerMessages.js';
import {ReportPacer} from '../reportPacer.js';

function report(changes: Partial<EngineLoadReport> = {}): EngineLoadReport {
  return {
    type: 'engineLoad',
    queued: 0,
    active: 1,
    memoryUsedTokens: 0,
    memoryTokens: 30_000,
    promptBacklogTokens: 0,
    ...changes,
  };
}

/** Reports told in a second in which the memory in use rises steadily. */
async function toldInOneSecond(links: number): Promise<number> {
  const clock = new VirtualClock();
  const pacer = new ReportPacer(clock, () => links);
  let told = 0;
  for (let tick = 0; tick < 50; tick++) {
    const next = report({memoryUsedTokens: tick * 500});
    if (pacer.isWorthTelling(next)) {
      pacer.noteTold(next);
      told++;
    }
    await clock.advance(20);
  }
  return told;
}

describe('ReportPacer', () => {
  it('tells less often the more links there are', async () => {
    expect(await toldInOneSecond(5)).toBe(10);
    expect(await toldInOneSecond(24)).toBe(3);
  });

  it('tells of a leave at once', () => {
    const pacer = new ReportPacer(new VirtualClock(), () => 60);
    pacer.noteTold(report());
    expect(pacer.isWorthTelling(report({leavesInMs: 1_500}))).toBe(true);
  });

  it('keeps a small change to itself until the last report is old', async () => {
    const clock = new VirtualClock();
    const pacer = new ReportPacer(clock, () => 1);
    pacer.noteTold(report());
    await clock.advance(300);
    expect(pacer.isWorthTelling(report({memoryUsedTokens: 10}))).toBe(false);
    await clock.advance(600);
    expect(pacer.isWorthTelling(report({memoryUsedTokens: 10}))).toBe(true);
  });
});
