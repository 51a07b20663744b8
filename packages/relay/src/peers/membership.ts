import {sleep} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import {describeStoreFailure} from '../config/storeReads.js';
import type {Logger} from '../log/boundedLog.js';
import {formatAddress, parseAddress} from '../model/index.js';
import type {EndpointAddress} from '../model/index.js';
import type {Lease, MetadataStore, StoreItem} from '../ports.js';
import {logFormerProcess} from './formerProcess.js';

/** Lifetime of a registration without renewal: outlasts a short outage. */
const LEASE_TTL_MS = 15_000;

/** A third of the lease's TTL: two renewals may fail. */
const RENEWAL_INTERVAL_MS = 5_000;

/** Pause after a failed registration. */
const REGISTRATION_RETRY_MS = 500;

/**
 * Maximum length of a zone's name. Members are told to all sidecars, in messages whose size is
 * limited.
 */
const MAX_ZONE_LENGTH = 200;

/** The registration of an entry. */
export interface Member {
  readonly instance: string;
  readonly address: EndpointAddress;
  /** Availability zone of the entry. */
  readonly zone: string;
}

/** Parses a registration; undefined if it is malformed. */
export function parseMember(
  item: StoreItem,
  prefix: string,
): Member | undefined {
  const instance = instanceOfKey(item.key, prefix);
  const [addressText, zone, ...rest] = item.value.toString('utf8').split(' ');
  const address = parseAddress(addressText ?? '');
  if (address === undefined || !zone || !instance || rest.length > 0) {
    return undefined;
  }
  if (zone.length > MAX_ZONE_LENGTH) return undefined;
  return {instance, address, zone};
}

/** The name of the entry that is registered under a key below `prefix`. */
export function instanceOfKey(key: string, prefix: string): string {
  return key.slice(prefix.length);
}

/** What the store holds of this entry. */
interface Registration {
  readonly lease: Lease;
  /** Revision at which the key was written. */
  readonly revision: number;
}

/**
 * Keeps this entry registered below `prefix` under a lease until `signal` is aborted. Registers
 * again at once when the store was restored, as it may have lost the key.
 */
export async function keepRegistered(
  member: Member,
  prefix: string,
  store: MetadataStore,
  clock: Clock,
  log: Logger,
  signal: AbortSignal,
): Promise<void> {
  const key = `${prefix}${member.instance}`;
  let restored = new AbortController();
  store.onRestored(() => restored.abort());
  let registration: Registration | undefined;
  let isFormerKnown = false;
  while (!signal.aborted) {
    restored = new AbortController();
    if (registration !== undefined) {
      registration = await renew(registration, store, log);
    }
    registration ??= await register(member, key, store, log, async () => {
      if (!isFormerKnown) await logFormerProcess(key, store, log);
      isFormerKnown = true;
    });
    const waitMs =
      registration === undefined ? REGISTRATION_RETRY_MS : RENEWAL_INTERVAL_MS;
    await sleep(clock, waitMs, AbortSignal.any([signal, restored.signal]));
  }
  if (registration !== undefined) {
    await store.remove(key, registration.revision);
  }
}

async function register(
  member: Member,
  key: string,
  store: MetadataStore,
  log: Logger,
  beforeWrite: () => Promise<void>,
): Promise<Registration | undefined> {
  const granted = await store.grantLease(LEASE_TTL_MS);
  if (granted.kind !== 'ok') {
    log.info('member.notRegistered', {cause: describeStoreFailure(granted)});
    return undefined;
  }
  await beforeWrite();
  const lease = granted.value;
  const put = await store.put({
    key,
    value: Buffer.from(`${formatAddress(member.address)} ${member.zone}`),
    lease,
  });
  if (put.kind === 'ok') return {lease, revision: put.value};
  log.info('member.notRegistered', {cause: describeStoreFailure(put)});
  return undefined;
}

async function renew(
  registration: Registration,
  store: MetadataStore,
  log: Logger,
): Promise<Registration | undefined> {
  const {lease} = registration;
  const renewed = await store.renewLease(lease);
  // After other failures the lease may still exist: it is not replaced but renewed again.
  if (renewed.kind !== 'missing') return registration;
  log.warn('member.leaseLost', {lease: lease.id, era: lease.era});
  return undefined;
}
