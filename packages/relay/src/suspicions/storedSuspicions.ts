import {LONGEST_QUARANTINE_MS} from '@lilacledge/policy';
import type {Suspicion} from '@lilacledge/policy';
import {sleep} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import {describeFailure} from '../config/storeReads.js';
import type {MirrorSection} from '../config/storeMirror.js';
import type {DecisionLogger} from '../log/boundedLog.js';
import {toSuspicion} from '../peers/suspicionMessage.js';
import type {MetadataStore} from '../ports.js';
import {SuspicionSource} from './requestSuspicions.js';
import type {RequestSuspicions} from './requestSuspicions.js';

/** Pause before a write that failed is tried again. */
const RETRY_INTERVAL_MS = 1_000;

/** Requests that one entry keeps in the store at a time; the calls are paid for. */
const MOST_STORED = 50;

/** What the keeping of suspicions needs of its entry. */
export interface StoredSuspicionSources {
  readonly store: MetadataStore;
  readonly prefix: string;
  readonly clock: Clock;
  readonly log: DecisionLogger;
  readonly suspicions: RequestSuspicions;
  /** Ends all tries to write. */
  readonly signal: AbortSignal;
}

/**
 * Keeps requests that are given up in the store, under a lease as long as the longest
 * quarantine: all entries may start again at once, and no process has a disk. The entry that
 * saw the deciding end writes.
 */
export function keepSuspicions(sources: StoredSuspicionSources): void {
  const {suspicions} = sources;
  const leases = new Map<string, Promise<number | undefined>>();
  suspicions.onChange((suspicion, source) => {
    const {fingerprint} = suspicion;
    const isGivenUp = suspicions.isGivenUp(fingerprint);
    const lease = leases.get(fingerprint);
    if (!isGivenUp && lease !== undefined) {
      leases.delete(fingerprint);
      void endLease(sources, lease);
      return;
    }
    const isOurs = source === SuspicionSource.OWN && lease === undefined;
    if (!isGivenUp || !isOurs || leases.size >= MOST_STORED) return;
    leases.set(fingerprint, keep(sources, suspicion));
    sources.clock.after(LONGEST_QUARANTINE_MS, () =>
      leases.delete(fingerprint),
    );
  });
}

/** Reads what entries keep; a key that goes says nothing, as ages are in the value. */
export function suspicionSection(
  prefix: string,
  suspicions: RequestSuspicions,
  log: DecisionLogger,
): MirrorSection {
  return {
    prefix,
    written: ({key, value, revision}) => {
      const suspicion = toSuspicion(parse(value));
      if (suspicion === undefined) {
        log.warn('suspicion.refused', {key, revision});
        return;
      }
      suspicions.noteTold(suspicion, SuspicionSource.STORE);
    },
    deleted: () => {},
  };
}

/** Writes until it is stored, or no longer of use; resolves with its lease. */
async function keep(
  sources: StoredSuspicionSources,
  {fingerprint}: Suspicion,
): Promise<number | undefined> {
  const {clock, signal, suspicions} = sources;
  while (!signal.aborted) {
    const suspicion = suspicions.get(fingerprint);
    if (suspicion === undefined) return undefined;
    if (!suspicions.isGivenUp(fingerprint)) return undefined;
    const leaseId = await write(sources, suspicion);
    if (leaseId !== undefined) return leaseId;
    await sleep(clock, RETRY_INTERVAL_MS, signal);
  }
  return undefined;
}

async function write(
  {store, prefix, log}: StoredSuspicionSources,
  suspicion: Suspicion,
): Promise<number | undefined> {
  const granted = await store.grantLease(LONGEST_QUARANTINE_MS);
  if (granted.kind !== 'ok') return undefined;
  const leaseId = granted.value;
  const {fingerprint} = suspicion;
  const put = await store.put({
    key: `${prefix}${fingerprint}`,
    value: Buffer.from(JSON.stringify(suspicion)),
    leaseId,
  });
  if (put.kind === 'ok') return leaseId;
  const cause = describeFailure(put);
  log.info('suspicion.notStored', {fingerprint, cause});
  await store.endLease(leaseId);
  return undefined;
}

async function endLease(
  {store}: StoredSuspicionSources,
  lease: Promise<number | undefined>,
): Promise<void> {
  const leaseId = await lease;
  if (leaseId !== undefined) await store.endLease(leaseId);
}

function parse(value: Buffer): unknown {
  try {
    return JSON.parse(value.toString('utf8'));
  } catch {
    // Reported by the caller, as any other value that says nothing.
    return undefined;
  }
}
