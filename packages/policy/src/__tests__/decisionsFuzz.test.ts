import {createRandom, VirtualClock} from '@lilacledge/shared';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {CallTimes} from '../callTimes.js';
import {DrainRate} from '../drainRate.js';
import {EnginePace} from '../enginePace.js';
import {EngineSpeed, SpeedReference} from '../engineSpeed.js';
import {mayBegin} from '../shutdownAdmission.js';
import {generationDuration} from '../shutdownGeneration.js';
import {
  expiredKeptUntilMs,
  lastResortUntilMs,
  storeWatchTimeoutMs,
} from '../leaveBound.js';
import {PauseRisk} from '../pauseRisk.js';
import {PassiveHealth} from '../passiveHealth.js';
import {decideRoom} from '../roomWait.js';
import {mostAtRisk} from '../runOutlook.js';
import {RetryBudgets} from '../retryBudgets.js';
import {decideWithoutConfig, decideWithoutEndpoint} from '../missingView.js';
import {compareWaiting} from '../waitingOrder.js';
import type {QueuePosition} from '../waitingOrder.js';
import {takeArriving} from './takeArriving.js';
import {batchDelayMs, ViewState} from '../watchPace.js';

const RUNS = {numRuns: 300, seed: 20_261};

/** Times from 0 to one day, including edge cases. */
const timeMs = fc.oneof(
  fc.constantFrom(0, 1, 250, 2_000, 86_400_000),
  fc.double({min: 0, max: 100_000, noNaN: true}),
);
const signedMs = fc.tuple(timeMs, fc.boolean()).map(([ms, minus]) => {
  return minus ? -ms : ms;
});
const tokens = fc.oneof(
  fc.constantFrom(0, 1, 1_000_000),
  fc.integer({min: 0, max: 40_000}),
);
const chance = fc.double({min: 0, max: 1, noNaN: true, maxExcluded: true});

/** An engine's pace after arbitrary measurements. */
const pace = fc
  .array(fc.tuple(tokens, timeMs, fc.boolean()), {maxLength: 60})
  .map((samples) => {
    const learned = new EnginePace();
    for (const [count, tookMs, isPrefill] of samples) {
      if (isPrefill) learned.notePrefill(count, tookMs);
      else learned.noteOutput(count, tookMs);
    }
    return learned;
  });

/** Figures of another process, which need not be sensible. */
const anyFigure = fc.oneof(fc.double(), timeMs, fc.constant(undefined));

describe('decisions on arbitrary input', () => {
  it('take any engine to be 0.1 to 20 times as slow as a usual one', () => {
    const report = fc.tuple(
      fc.integer({min: 0, max: 4}),
      anyFigure,
      anyFigure,
      timeMs,
    );
    fc.assert(
      fc.property(fc.array(report, {maxLength: 40}), (reports) => {
        const reference = new SpeedReference();
        const engines = Array.from(
          {length: 5},
          () => new EngineSpeed(reference),
        );
        for (const [index, outputTokenMs, pacePercent, nowMs] of reports) {
          engines[index]!.noteReported({outputTokenMs}, nowMs);
          engines[index]!.noteTold(pacePercent, nowMs);
          for (const engine of engines) {
            const slowness = engine.slowness(nowMs);
            expect(slowness).toBeGreaterThanOrEqual(0.1);
            expect(slowness).toBeLessThanOrEqual(20);
          }
        }
      }),
      RUNS,
    );
  });

  it('expect a pause over the goal with a chance from 0 to 1', () => {
    const gaps = fc.array(fc.tuple(timeMs, timeMs), {maxLength: 300});
    fc.assert(
      fc.property(
        gaps,
        timeMs,
        timeMs,
        timeMs,
        tokens,
        (noted, a, b, c, events) => {
          const risk = new PauseRisk();
          for (const [gapMs, usualMs] of noted) risk.note(gapMs, usualMs);
          const chance = risk.missChanceNow({
            usualGapMs: a,
            presentGapMs: b,
            pauseGoalMs: c,
            events,
          });
          expect(chance).toBeGreaterThanOrEqual(0);
          expect(chance).toBeLessThanOrEqual(1);
        },
      ),
      RUNS,
    );
  });

  it('give retry times that are finite and not negative', () => {
    fc.assert(
      fc.property(
        timeMs,
        timeMs,
        timeMs,
        signedMs,
        chance,
        (a, b, c, left, drawn) => {
          const random = (): number => drawn;
          const facts = {answersForMs: a, awayForMs: b, heartbeatMs: c};
          const away = {...facts, answersForMs: undefined};
          const decisions = [
            decideWithoutEndpoint(facts, left, random),
            decideWithoutEndpoint(away, left, random),
            decideWithoutConfig(facts, random),
            decideRoom(
              {
                expectedWaitMs: a,
                waitedMs: b,
                shortForMs: c,
                prefillMs: a,
                goalLeftMs: left,
              },
              random,
            ),
          ];
          for (const decision of decisions) {
            if (decision.kind === 'refuse') {
              expect(decision.retryAfterMs).toBeGreaterThanOrEqual(0);
              expect(Number.isFinite(decision.retryAfterMs)).toBe(true);
            }
          }
        },
      ),
      RUNS,
    );
  });

  it('give no work to an endpoint after the bound', () => {
    fc.assert(
      fc.property(signedMs, timeMs, (leftMs, boundMs) => {
        const news = [
          {kind: 'told', atMs: leftMs},
          {kind: 'stored', clearMs: leftMs},
        ] as const;
        for (const each of news) {
          const endsMs = lastResortUntilMs(each, boundMs);
          expect(endsMs).toBeLessThanOrEqual(leftMs + boundMs);
        }
      }),
      RUNS,
    );
  });

  it('batch changes for no longer than the bound, whatever its value', () => {
    fc.assert(
      fc.property(
        timeMs,
        fc.constantFrom(...Object.values(ViewState)),
        (boundMs, view) => {
          expect(batchDelayMs(boundMs, view)).toBeLessThanOrEqual(
            boundMs * 0.5,
          );
          expect(storeWatchTimeoutMs(boundMs)).toBeLessThanOrEqual(boundMs + 1);
        },
      ),
      RUNS,
    );
  });

  it('keep no registration as expired for longer than the settling time', () => {
    fc.assert(
      fc.property(timeMs, timeMs, timeMs, (failedMs, laterMs, settleMs) => {
        const seen = {atMs: failedMs + laterMs, lastFailedMs: failedMs};
        expect(expiredKeptUntilMs(seen, settleMs)).toBeLessThanOrEqual(
          failedMs + settleMs,
        );
      }),
      RUNS,
    );
  });

  it('learn a positive and finite pace', () => {
    fc.assert(
      fc.property(pace, (learned) => {
        for (const ms of [learned.prefillMs(1), learned.outputMs(1)]) {
          expect(ms).toBeGreaterThan(0);
          expect(Number.isFinite(ms)).toBe(true);
        }
        expect(learned.maxExpectedOutputMs(1)).toBeGreaterThan(0);
      }),
      RUNS,
    );
  });

  it('start no generation that has no time left', () => {
    fc.assert(
      fc.property(pace, tokens, tokens, (learned, prompt, output) => {
        const generation = {
          promptTokens: prompt,
          expectedOutputTokens: output,
          maxOutputTokens: output,
          longestSilenceMs: 0,
        };
        const duration = generationDuration(generation, learned);
        const ended = {beganAtMs: 0, endsAtMs: 7_750};
        expect(mayBegin(ended, 7_751, duration)).toBe(false);
        expect(duration.expectedMs).toBeGreaterThan(-1);
        expect(duration.longestMs).toBeGreaterThan(-1);
      }),
      RUNS,
    );
  });

  it('choose a run to move, if there is one, at any pace and notice', () => {
    const run = fc.record({
      requestId: fc.string(),
      promptTokens: fc.integer({min: 1, max: 40_000}),
      expectedOutputTokens: tokens,
      producedTokens: fc.integer({min: 0, max: 4_000}),
    });
    fc.assert(
      fc.property(
        fc.array(run, {minLength: 1, maxLength: 8}),
        fc.integer({min: 0, max: 3_000}),
        fc.double({min: 0.5, max: 100, noNaN: true}),
        (runs, noticeMs, tokenMs) => {
          const chosen = mostAtRisk(runs, noticeMs, tokenMs);
          expect(chosen).toBeDefined();
          expect(runs).toContain(chosen);
        },
      ),
      RUNS,
    );
  });

  it('order waiting generations transitively, by rank first', () => {
    const position: fc.Arbitrary<QueuePosition> = fc.record({
      organisationRank: fc.integer({min: 0, max: 3}),
      routeRank: fc.integer({min: 0, max: 3}),
      latestStartMs: timeMs,
      deadlineMs: timeMs,
    });
    fc.assert(
      fc.property(position, position, position, timeMs, (a, b, c, nowMs) => {
        const order = (x: QueuePosition, y: QueuePosition): number =>
          Math.sign(compareWaiting(x, y, nowMs));
        expect(order(a, b) + order(b, a)).toBe(0);
        if (order(a, b) <= 0 && order(b, c) <= 0) {
          expect(order(a, c)).toBeLessThanOrEqual(0);
        }
        if (a.organisationRank < b.organisationRank) {
          expect(order(a, b)).toBe(-1);
        }
      }),
      RUNS,
    );
  });

  it('never exceed the retry budget while the number of entries changes', async () => {
    const step = fc.record({
      afterMs: fc.integer({min: 0, max: 3_000}),
      entries: fc.integer({min: 0, max: 30}),
      asks: fc.integer({min: 0, max: 120}),
    });
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, {maxLength: 20}),
        fc.integer({min: 0, max: 60}),
        async (steps, retrySlack) => {
          const clock = new VirtualClock();
          let entries = 1;
          const budget = new RetryBudgets(
            true,
            {retryRatio: 0.2, retryWindowMs: 10_000, retrySlack},
            {entries: () => entries, isCurrent: () => true},
            clock,
          ).of('calls');
          const taken: number[] = [];
          for (const {afterMs, asks, entries: count} of steps) {
            await clock.advance(afterMs);
            entries = count;
            const nowMs = clock.nowMs();
            for (let ask = 0; ask < asks; ask++) {
              if (takeArriving(budget, clock)) taken.push(nowMs);
            }
            const inWindow = taken.filter((atMs) => atMs > nowMs - 9_500);
            expect(inWindow.length).toBeLessThanOrEqual(retrySlack);
          }
        },
      ),
      {...RUNS, numRuns: 60},
    );
  });

  it('doubt an endpoint for no longer than the maximum', () => {
    // Mostly missing responses, at intervals that let one doubt end and the next begin.
    const event = fc.tuple(
      fc.constantFrom(0, 1, 2, 3, 3, 4, 4),
      fc.oneof(timeMs, fc.integer({min: 1_000, max: 20_000})),
    );
    fc.assert(
      fc.property(fc.array(event, {maxLength: 60}), (events) => {
        const doubts: number[] = [];
        const health = new PassiveHealth(({forMs}) => doubts.push(forMs));
        let nowMs = 0;
        for (const [kind, afterMs] of events) {
          nowMs += afterMs;
          if (kind === 0) health.noteSuccess();
          else if (kind === 1) health.noteFailure(nowMs);
          else if (kind === 2) health.applyPeerDoubt(nowMs, afterMs);
          else health.noteNoResponse(nowMs, kind === 3);
          expect(health.failureProbability).toBeGreaterThanOrEqual(0);
          expect(health.failureProbability).toBeLessThanOrEqual(1);
        }
        for (const forMs of doubts) expect(forMs).toBeLessThanOrEqual(8_000);
        expect(health.isDoubted(nowMs + 8_000)).toBe(false);
      }),
      RUNS,
    );
  });

  it('forecast finite times for a queue and a call', () => {
    const random = createRandom(3);
    fc.assert(
      fc.property(
        fc.array(fc.tuple(timeMs, tokens)),
        tokens,
        (samples, ahead) => {
          const rate = new DrainRate();
          const times = new CallTimes();
          for (const [forMs, count] of samples) {
            rate.note(forMs, count);
            times.note(forMs * random());
          }
          for (const ms of [
            rate.expectedWaitMs(ahead),
            times.maxExpectedMs ?? 0,
          ]) {
            expect(ms).toBeGreaterThanOrEqual(0);
            expect(Number.isFinite(ms)).toBe(true);
          }
        },
      ),
      RUNS,
    );
  });
});
