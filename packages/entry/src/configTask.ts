import type {EntrySettings} from '@lilacledge/config';
import type {ConfigHead} from '@lilacledge/config';
import type {ConfigCache} from '@lilacledge/protocol';
import {backoffMs, rendezvous, sleep} from '@lilacledge/shared';
import type {EntryMetrics} from './entryMetrics.js';
import type {EntryPorts} from './entryPorts.js';

const STORE_RETRY_BACKOFF = {firstMs: 250, maxMs: 10_000};
const WATCHER_CHECK_INTERVAL_MS = 1_000;

/**
 * A watch is reopened after this time, so that one that stalls without an error
 * delays a change by no more than this.
 */
const MAX_WATCH_MS = 5_000;

/**
 * An entry that still has no configuration reads the store itself after this
 * time.
 */
const NON_WATCHER_READ_DELAY_MS = 2_000;

/**
 * Keeps one entry's configuration up to date with the store. Only a few entries
 * watch the store, chosen by rendezvous hashing over the membership list; the
 * others receive changes over their links to sidecars.
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
  let lastWatchAtMs = ports.clock.nowMs();
  while (!stopped.aborted) {
    const isReadDue =
      cache.revision === 0 &&
      ports.clock.nowMs() - lastWatchAtMs >= NON_WATCHER_READ_DELAY_MS;
    if (!isWatcher(settings, entryIds()) && !isReadDue) {
      await sleep(ports.clock, WATCHER_CHECK_INTERVAL_MS, stopped);
      continue;
    }
    lastWatchAtMs = ports.clock.nowMs();
    const isChosen = (): boolean => isWatcher(settings, entryIds());
    try {
      await watchHead(ports, cache, metrics, isChosen, stopped);
      attempt = 0;
    } catch (error) {
      log.warn('Could not read the configuration from the store.', {
        error: String(error),
      });
      const waitMs = backoffMs(STORE_RETRY_BACKOFF, attempt++, ports.random);
      await sleep(ports.clock, waitMs, stopped);
    }
  }
}

/**
 * Adopts a head read from the store, or records by how much the store is
 * behind.
 */
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
      .error('The store has an older configuration than this process.', {
        behindBy,
      });
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

/**
 * Opens a watch, reads the current head, and adopts changes until the watch is
 * due to be reopened or this entry is no longer a watcher.
 */
async function watchHead(
  ports: EntryPorts,
  cache: ConfigCache,
  metrics: EntryMetrics,
  isChosen: () => boolean,
  stopped: AbortSignal,
): Promise<void> {
  const watchAbort = new AbortController();
  const endWatch = (): void => watchAbort.abort();
  stopped.addEventListener('abort', endWatch, {once: true});
  const endsAtMs = ports.clock.nowMs() + MAX_WATCH_MS;
  let cancelCheck = ports.clock.after(WATCHER_CHECK_INTERVAL_MS, checkWatch);
  function checkWatch(): void {
    if (!isChosen() || ports.clock.nowMs() >= endsAtMs) endWatch();
    else cancelCheck = ports.clock.after(WATCHER_CHECK_INTERVAL_MS, checkWatch);
  }
  try {
    const heads = ports.configStore.watchHead(watchAbort.signal);
    await Promise.all([
      adoptHeads(ports, cache, metrics, heads),
      readHead(ports, cache, metrics),
    ]);
  } catch (error) {
    if (!watchAbort.signal.aborted) throw error;
  } finally {
    cancelCheck();
    endWatch();
    stopped.removeEventListener('abort', endWatch);
  }
}

async function readHead(
  ports: EntryPorts,
  cache: ConfigCache,
  metrics: EntryMetrics,
): Promise<void> {
  const head = await ports.configStore.readHead();
  if (head !== undefined) await adoptHead(ports, cache, metrics, head);
}

async function adoptHeads(
  ports: EntryPorts,
  cache: ConfigCache,
  metrics: EntryMetrics,
  heads: AsyncIterable<ConfigHead>,
): Promise<void> {
  for await (const head of heads) {
    await adoptHead(ports, cache, metrics, head);
  }
}
