import {createRandom} from '@lilacledge/shared';
import {afterEach, describe, expect, it} from 'vitest';
import {SMALL_DEPLOYMENT_BOUNDS, createSettledView} from './entryView.js';
import type {Bounds, EntryView} from './entryView.js';
import {SlowLink} from './slowLink.js';

/*
 * Guards against head-of-line blocking of registrations by large configurations. Entries on
 * slow links learned of leaving endpoints 3 to 6 s late, without any fault of the store, and
 * went on sending to them past the bound.
 *
 * Registrations shared an answer with every version of a configuration of 1,450 routes since the
 * last answer. On a slow link the transfer took seconds; when it exceeded the watch timeout it was
 * repeated with an even larger answer. The bound was counted from the end of the transfer.
 */

/** A configuration of 1,450 routes. */
const CONFIG_BYTES = 330_000;

/** 10 Mbit/s, the bandwidth of the smallest instances. */
const LINK_BYTES_PER_MS = 1_250;

/** How long a series of new configuration versions lasts. */
const SERIES_MS = 6_000;

/** Step and range of the scan over the time of the leave after the start of the series. */
const STEP_MS = 330;
const SCAN_MS = 9_000;
const WATCHED_MS = 24_000;

/** Time bounds of a larger deployment. */
const WIDER_BOUNDS: Bounds = {
  heartbeatMs: 1_200,
  drainMs: 3_000,
  settleMs: 4_000,
  configApplyMs: 3_000,
};

let opened: EntryView[] = [];

afterEach(() => {
  for (const view of opened) view.stop();
  opened = [];
});

/** Creates an entry on a slow link that has received a large configuration. */
async function openOnSlowLink(bounds: Bounds): Promise<EntryView> {
  const view = await createSettledView(1, bounds);
  opened.push(view);
  view.store.link = new SlowLink(view.clock, LINK_BYTES_PER_MS);
  view.store.writeConfig(CONFIG_BYTES);
  await view.clock.advance(10_000);
  return view;
}

/** Schedules a series of configurations; returns when it starts. */
function writeConfigSeries(view: EntryView, gapMs: number): number {
  const startMs = view.clock.nowMs();
  for (let afterMs = 0; afterMs <= SERIES_MS; afterMs += gapMs) {
    view.at(startMs + afterMs, () => view.store.writeConfig(CONFIG_BYTES));
  }
  return startMs;
}

/** Time from the bound to the last send to a leaving endpoint; 0 or less is in time. */
async function sendLatenessMs(
  bounds: Bounds,
  gapMs: number,
  leaveAfterMs: number,
  isAnnounced: boolean,
): Promise<number> {
  const view = await openOnSlowLink(bounds);
  const startMs = writeConfigSeries(view, gapMs);
  const leaveMs = startMs + leaveAfterMs;
  view.at(leaveMs, () => view.store.leave('a', isAnnounced));
  const lastMs = await view.lastSendMs(startMs + WATCHED_MS);
  return lastMs - leaveMs - bounds.drainMs;
}

describe('an entry on a slow link, while a large configuration changes', () => {
  const gapsMs = [200, 330, 800];
  const deployments = [SMALL_DEPLOYMENT_BOUNDS, WIDER_BOUNDS];

  it('sends nothing to a leaving endpoint after the bound', async () => {
    let worstMs = -Infinity;
    for (const bounds of deployments) {
      for (const gapMs of gapsMs) {
        for (let afterMs = 0; afterMs <= SCAN_MS; afterMs += STEP_MS) {
          for (const isAnnounced of [true, false]) {
            const late = await sendLatenessMs(
              bounds,
              gapMs,
              afterMs,
              isAnnounced,
            );
            worstMs = Math.max(worstMs, late);
          }
        }
      }
    }
    expect(worstMs).toBeLessThanOrEqual(0);
  });

  it('applies the last version within the bound', async () => {
    let worstMs = -Infinity;
    for (const bounds of deployments) {
      for (const gapMs of gapsMs) {
        const view = await openOnSlowLink(bounds);
        const startMs = writeConfigSeries(view, gapMs);
        const lastMs = startMs + Math.floor(SERIES_MS / gapMs) * gapMs;
        await view.clock.advance(lastMs - view.clock.nowMs() + 1);
        const version = view.store.configVersion;
        await view.clock.advanceUntil(() => view.configVersion === version);
        const late = view.clock.nowMs() - lastMs - bounds.configApplyMs;
        worstMs = Math.max(worstMs, late);
      }
    }
    expect(worstMs).toBeLessThanOrEqual(0);
  });
});

/** Seeds of the fuzz test; set the environment variables to try others. */
const FIRST_SEED = Number(process.env['FUZZ_SEED'] ?? 1);
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 60);

/** Largest extra delay of the store's answers. */
const MAX_DELAY_MS = 600;

/** Time from the bound to the last send while answers are delayed; 0 if in time. */
async function delayedSendLatenessMs(seed: number): Promise<number> {
  const random = createRandom(seed);
  const view = await createSettledView(seed);
  opened.push(view);
  view.store.responseDelayMs = random() * MAX_DELAY_MS;
  const gapMs = 100 + random() * 400;
  const startMs = view.clock.nowMs();
  for (let afterMs = 0; afterMs <= WATCHED_MS; afterMs += gapMs) {
    view.at(startMs + afterMs, () => view.store.touch());
  }
  const leaveMs = startMs + 2_000 + random() * 6_000;
  view.at(leaveMs, () => view.store.leave('a', random() < 0.5));
  const lastMs = await view.lastSendMs(leaveMs + 6_000);
  return Math.max(0, lastMs - leaveMs - SMALL_DEPLOYMENT_BOUNDS.drainMs);
}

describe('an entry with delayed answers, while other endpoints change', () => {
  it('sends nothing to a leaving endpoint after the bound', async () => {
    const late: Array<{seed: number; lateMs: number}> = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      const lateMs = await delayedSendLatenessMs(seed);
      if (lateMs > 0) late.push({seed, lateMs});
    }
    expect(late).toEqual([]);
  });
});
