import type {Suspicion} from '@lilacledge/policy';
import {sleep} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import {describeStoreFailure} from '../config/storeReads.js';
import type {PrefixHandler} from '../config/storeWatcher.js';
import type {Logger} from '../log/boundedLog.js';
import {parseSuspicion} from '../peers/suspicionMessage.js';
import type {MetadataStore} from '../ports.js';
import {SuspicionSource} from './requestSuspicions.js';
import type {RequestSuspicions} from './requestSuspicions.js';

/** Delay before a failed write is retried. */
const RETRY_INTERVAL_MS = 1_000;

/**
 * How often what is stored is written again, since it gives the ages of crashes, and keys are
 * removed that nobody needs any more.
 */
const RENEWAL_INTERVAL_MS = 240_000;

/**
 * How often an entry looks for quarantines that it learned of and that the store lacks: the entry
 * that saw the crash may have ended before its write.
 */
const UNSTORED_CHECK_INTERVAL_MS = 2_000;

/** Limits the features that one entry stores at a time, as calls to the store cost money. */
const MAX_STORED_FEATURES = 50;

/** Dependencies of `storeQuarantines`. */
export interface StoredSuspicionSources {
  readonly store: MetadataStore;
  readonly prefix: string;
  readonly clock: Clock;
  readonly log: Logger;
  readonly suspicions: RequestSuspicions;
  /** Ends all writes. */
  readonly signal: AbortSignal;
}

/**
 * Writes the features of quarantined requests to the metadata store, so that they survive a
 * simultaneous restart of all entries, which have no disk. The entry that saw a crash of a
 * quarantined feature writes it at once; the one that is chosen for its trials renews it, and
 * writes what the store still lacks, so that no quarantine depends on one entry.
 */
export function storeQuarantines(sources: StoredSuspicionSources): void {
  const {store, suspicions} = sources;
  const written = new WrittenQuarantines(sources);
  suspicions.onChange(({fingerprint: feature, ends}, source) => {
    if (!suspicions.isQuarantined(feature)) written.remove(feature);
    else if (source === SuspicionSource.OWN && ends.length > 0) {
      written.write(feature);
    }
  });
  store.onRestored(() => written.writeAllAgain());
  suspicions.onUnstored((feature) => {
    if (suspicions.isQuarantined(feature)) {
      writeIfChosen(sources, written, feature);
    }
  });
  storeUnstored(sources, written);
  renewRegularly(sources, written);
}

/** Writes quarantines of other entries that are chosen here and don't appear in the store. */
function storeUnstored(
  sources: StoredSuspicionSources,
  written: WrittenQuarantines,
): void {
  const {clock, signal, suspicions} = sources;
  let isScheduled = false;
  const schedule = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    clock.after(UNSTORED_CHECK_INTERVAL_MS, check);
  };
  const check = (): void => {
    isScheduled = false;
    if (signal.aborted) return;
    const unstored = suspicions.quarantined.filter(
      (feature) => !suspicions.stored.has(feature) && !written.has(feature),
    );
    for (const feature of unstored) writeIfChosen(sources, written, feature);
    if (unstored.length > 0) schedule();
  };
  suspicions.onChange(({fingerprint: feature}) => {
    if (suspicions.isQuarantined(feature)) schedule();
  });
}

/** Writes a quarantine that the store lacks, at the entry that makes its trials. */
function writeIfChosen(
  {log, suspicions}: StoredSuspicionSources,
  written: WrittenQuarantines,
  feature: string,
): void {
  if (!suspicions.isChosenFor(feature)) return;
  log.info('suspicion.unstored', {feature});
  written.write(feature);
}

function renewRegularly(
  sources: StoredSuspicionSources,
  written: WrittenQuarantines,
): void {
  const {clock, signal, suspicions} = sources;
  clock.after(RENEWAL_INTERVAL_MS, () => {
    if (signal.aborted) return;
    const {quarantined} = suspicions;
    written.removeAllBut(quarantined);
    removeObsolete(sources);
    for (const feature of quarantined) {
      if (suspicions.isChosenFor(feature)) written.write(feature);
    }
    renewRegularly(sources, written);
  });
}

/** Removes keys that other entries have written, which may have ended. */
function removeObsolete({store, prefix, suspicions}: StoredSuspicionSources) {
  for (const [feature, revision] of suspicions.stored) {
    const isObsolete = !suspicions.isQuarantined(feature);
    if (!isObsolete || !suspicions.isChosenFor(feature)) continue;
    void store.remove(`${prefix}${feature}`, revision);
  }
}

/** The quarantined features that this entry has stored. */
class WrittenQuarantines {
  /** Revisions of the stored keys by feature; undefined for those that are not stored. */
  private readonly revisions = new Map<string, Promise<number | undefined>>();

  constructor(private readonly sources: StoredSuspicionSources) {}

  has(feature: string): boolean {
    return this.revisions.has(feature);
  }

  write(feature: string): void {
    const previous = this.revisions.get(feature);
    if (previous === undefined && this.revisions.size >= MAX_STORED_FEATURES) {
      return;
    }
    const writeNext = () => writeUntilStored(this.sources, feature);
    const next =
      previous === undefined ? writeNext() : previous.then(writeNext);
    this.revisions.set(feature, next);
  }

  writeAllAgain(): void {
    for (const feature of this.revisions.keys()) this.write(feature);
  }

  remove(feature: string): void {
    const revision = this.revisions.get(feature);
    if (revision === undefined) return;
    this.revisions.delete(feature);
    void remove(this.sources, feature, revision);
  }

  removeAllBut(features: readonly string[]): void {
    for (const feature of [...this.revisions.keys()]) {
      if (!features.includes(feature)) this.remove(feature);
    }
  }
}

/**
 * Merges suspicions that entries have stored. A key that is missing does not end a quarantine,
 * whose ages determine when it ends: the store may have lost its leases.
 */
export function storedSuspicionSection(
  prefix: string,
  suspicions: RequestSuspicions,
  log: Logger,
): PrefixHandler {
  return {
    prefix,
    read: ({key, value, revision}) => {
      const suspicion = parseSuspicion(parse(value));
      return () => {
        if (suspicion === undefined) {
          log.warn('suspicion.refused', {key, revision});
          return;
        }
        suspicions.noteStored(key.slice(prefix.length), revision);
        suspicions.merge(suspicion, SuspicionSource.STORE);
      };
    },
    deleted: (key) => suspicions.noteUnstored(key.slice(prefix.length)),
    listed: (keys) => {
      for (const feature of suspicions.quarantined) {
        if (!keys.has(`${prefix}${feature}`)) suspicions.noteUnstored(feature);
      }
    },
  };
}

/**
 * Retries the write until it succeeds or the feature is no longer quarantined. Resolves with
 * the revision of the stored key, if any.
 */
async function writeUntilStored(
  sources: StoredSuspicionSources,
  feature: string,
): Promise<number | undefined> {
  const {clock, signal, suspicions} = sources;
  while (!signal.aborted) {
    const evidence = suspicions.quarantineEvidence(feature);
    if (evidence === undefined) return undefined;
    const revision = await write(sources, evidence);
    if (revision !== undefined) return revision;
    await sleep(clock, RETRY_INTERVAL_MS, signal);
  }
  return undefined;
}

async function write(
  {store, prefix, log}: StoredSuspicionSources,
  evidence: Suspicion,
): Promise<number | undefined> {
  const {fingerprint: feature} = evidence;
  // Without a lease: the store may end leases while it is down, and all entries may start anew.
  const put = await store.put({
    key: `${prefix}${feature}`,
    value: Buffer.from(JSON.stringify(evidence)),
  });
  if (put.kind === 'ok') return put.value;
  const cause = describeStoreFailure(put);
  log.info('suspicion.notStored', {feature, cause});
  return undefined;
}

async function remove(
  {store, prefix}: StoredSuspicionSources,
  feature: string,
  written: Promise<number | undefined>,
): Promise<void> {
  const revision = await written;
  if (revision === undefined) return;
  await store.remove(`${prefix}${feature}`, revision);
}

function parse(value: Buffer): unknown {
  try {
    return JSON.parse(value.toString('utf8'));
  } catch {
    // The caller logs it like any other invalid value.
    return undefined;
  }
}
