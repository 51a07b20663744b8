import {describe, expect, it} from 'vitest';
import {Announcement, chooseNextRead} from '../bulkReads.js';
import type {NextRead} from '../bulkReads.js';

/** Transfer time of one version on the slowest link. */
const VERSION_MS = 310;

interface ReadTimes {
  /** Transfer time of the longest response. */
  readonly longestMs: number;
  /** Longest time from the write of a version until it, or a newer one, was read. */
  readonly worstAgeMs: number;
}

/**
 * Simulates the reads while a version is written every `gapMs`. A watch returns all
 * versions since the last response, a read of the newest returns one.
 */
function simulateReads(
  gapMs: number,
  forMs: number,
  applyBoundMs: number,
  versionMs = VERSION_MS,
): ReadTimes {
  let nowMs = 0;
  let knownCount = 0;
  let longestMs = 0;
  let worstAgeMs = 0;
  const announced = Announcement.NONE;
  let next = chooseNextRead({tookMs: 0, isNew: false, announced}, applyBoundMs);
  while (nowMs < forMs) {
    if (next.kind === 'newest') nowMs += next.pauseMs;
    else nowMs = Math.max(nowMs, (knownCount + 1) * gapMs);
    const writtenCount = Math.floor(nowMs / gapMs);
    const isNew = writtenCount > knownCount;
    const versions = next.kind === 'newest' ? 1 : writtenCount - knownCount;
    const tookMs = versions * versionMs;
    nowMs += tookMs;
    longestMs = Math.max(longestMs, tookMs);
    if (isNew) {
      worstAgeMs = Math.max(worstAgeMs, nowMs - (knownCount + 1) * gapMs);
    }
    knownCount = writtenCount;
    next = chooseNextRead({tookMs, isNew, announced}, applyBoundMs);
  }
  return {longestMs, worstAgeMs};
}

// Guards against a backlog on a slow link: if a response with several versions takes
// longer than the interval between versions, each watch returns more than the last.
describe('chooseNextRead', () => {
  it.each([50, 100, 200, 330, 800])(
    'keeps responses short while a version is written every %d ms',
    (gapMs) => {
      const {longestMs, worstAgeMs} = simulateReads(gapMs, 30_000, 2_000);
      expect(longestMs).toBeLessThanOrEqual(2 * VERSION_MS);
      expect(worstAgeMs).toBeLessThan(1_500);
    },
  );

  it('watches again after a read that returned nothing new', () => {
    const next = chooseNextRead(
      {tookMs: VERSION_MS, isNew: false, announced: Announcement.NONE},
      2_000,
    );
    expect(next).toEqual({kind: 'watch'});
  });

  it('keeps watching, without a pause, while versions are small', () => {
    const next = chooseNextRead(
      {tookMs: 3, isNew: true, announced: Announcement.NONE},
      2_000,
    );
    expect(next).toEqual({kind: 'watch'});
  });

  it('pauses for at most a fifth of the bound', () => {
    const next = chooseNextRead(
      {tookMs: 600, isNew: true, announced: Announcement.NONE},
      2_000,
    );
    expect(next).toEqual({kind: 'newest', pauseMs: 400});
  });

  it('does not pause if two transfers take longer than the bound', () => {
    const next = chooseNextRead(
      {tookMs: 5_000, isNew: true, announced: Announcement.NONE},
      2_000,
    );
    expect(next).toEqual({kind: 'newest', pauseMs: 0});
  });

  // Guards against a pause beside which two transfers no longer fit into the bound.
  it.each([100, 400, 900, 1_400])(
    'reads a version of %d ms within the bound while versions follow one another',
    (versionMs) => {
      const {worstAgeMs} = simulateReads(330, 30_000, 3_000, versionMs);
      expect(worstAgeMs).toBeLessThanOrEqual(3_000);
    },
  );

  // Guards against a second transfer of each large version: reading it again tells nothing new.
  it('watches after a slow response to a version that peers had announced as the newest', () => {
    const answer = {tookMs: VERSION_MS, isNew: true};
    const nextOf = (announced: Announcement): NextRead =>
      chooseNextRead({...answer, announced}, 2_000);
    expect(nextOf(Announcement.CURRENT)).toEqual({kind: 'watch'});
    expect(nextOf(Announcement.NEWER).kind).toBe('newest');
    expect(nextOf(Announcement.NONE).kind).toBe('newest');
  });
});
