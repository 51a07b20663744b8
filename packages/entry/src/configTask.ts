import type {EntrySettings} from '@lilacledge/config';
import type {ConfigHead} from '@lilacledge/config';
import type {ConfigCache} from '@lilacledge/protocol';
import {backoffMs, rendezvous, sleep} from '@lilacledge/shared';
import type {EntryMetrics} from './entryMetrics.js';
import type {EntryPorts} from './entryPorts.js';

const RETRY = {firstMs: 250, maxMs: 10_000};
const WATCHER_CHECK_MS = 1_000;

/**
 * A watch is opened anew after this time, so that one that has stalled in
 * silence delays a change by no more than this.
 */
const WATCH_MAX_MS = 5_000;

/** An entry without a configuration asks the store itself after this time. */
const FIRST_READ_MS = 2_000;

/**
 * Keeps one entry's configuration true to the store. Only a few entries hold a
 * watch, chosen by rendezvous over the membership list; the others learn of
 * changes on their links.
 */
export async function runConfigTask(
  ports: EntryPorts,
  settings: EntrySettings,
  cache: ConfigCache,
  metrics: EntryMetrics,
  entryIds: () => readonly string[],
  stopped: AbortSignal,
): Promise<void> {
  const log = ports.logger.part('config');
  let attempt = 0;
  let startedMs = ports.clock.nowMs();
  while (!stopped.aborted) {
    const mustRead =
      cache.revision === 0 && ports.clock.nowMs() - startedMs >= FIRST_READ_MS;
    if (!isWatcher(settings, entryIds()) && !mustRead) {
      await sleep(ports.clock, WATCHER_CHECK_MS, stopped);
      continue;
    }
    startedMs = ports.clock.nowMs();
    const isChosen = (): boolean => isWatcher(settings, entryIds());
    try {
      await watchOnce(ports, cache, metrics, isChosen, stopped);
      attempt = 0;
    } catch (error) {
      log.warn('Store not read.', {error: String(error)});
      const waitMs = backoffMs(RETRY, attempt++, ports.random);
      await sleep(ports.clock, waitMs, stopped);
    }
  }
}

/** Adopts a head read from the store, or notes that the store is behind. */
export async function adoptHead(
  ports: EntryPorts,
  cache: ConfigCache,
  metrics: EntryMetrics,
  head: ConfigHead,
): Promise<void> {
  const behindBy = Math.max(0, cache.revision - head.revision);
  metrics.storeBehind.set(behindBy);
  cache.storeBehindBy = behindBy;
  if (head.revision <= cache.revision) {
    if (behindBy === 0) return;
    ports.logger
      .part('config')
      .error('The store is older than this process.', {behindBy});
    return;
  }
  cache.adopt(await ports.configStore.readState(head, cache.current));
}

function isWatcher(
  settings: EntrySettings,
  entryIds: readonly string[],
): boolean {
  const order = rendezvous('config-watch', entryIds);
  const chosen = order.slice(0, settings.configWatchers);
  return chosen.includes(settings.instanceId);
}

/** Opens a watch, reads the head, and follows the watch for a bounded time. */
async function watchOnce(
  ports: EntryPorts,
  cache: ConfigCache,
  metrics: EntryMetrics,
  isChosen: () => boolean,
  stopped: AbortSignal,
): Promise<void> {
  const ending = new AbortController();
  const end = (): void => ending.abort();
  stopped.addEventListener('abort', end, {once: true});
  const untilMs = ports.clock.nowMs() + WATCH_MAX_MS;
  let cancel = ports.clock.after(WATCHER_CHECK_MS, check);
  function check(): void {
    if (!isChosen() || ports.clock.nowMs() >= untilMs) end();
    else cancel = ports.clock.after(WATCHER_CHECK_MS, check);
  }
  try {
    const heads = ports.configStore.watchHead(ending.signal);
    await Promise.all([
      followWatch(ports, cache, metrics, heads),
      readOnce(ports, cache, metrics),
    ]);
  } catch (error) {
    if (!ending.signal.aborted) throw error;
  } finally {
    cancel();
    end();
    stopped.removeEventListener('abort', end);
  }
}

async function readOnce(
  ports: EntryPorts,
  cache: ConfigCache,
  metrics: EntryMetrics,
): Promise<void> {
  const head = await ports.configStore.readHead();
  if (head !== undefined) await adoptHead(ports, cache, metrics, head);
}

async function followWatch(
  ports: EntryPorts,
  cache: ConfigCache,
  metrics: EntryMetrics,
  heads: AsyncIterable<ConfigHead>,
): Promise<void> {
  for await (const head of heads) {
    await adoptHead(ports, cache, metrics, head);
  }
}
