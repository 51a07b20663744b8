import {sleep} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import {describeStoreFailure} from '../config/storeReads.js';
import type {Logger} from '../log/boundedLog.js';
import {formatAddress, parseAddress} from '../model/index.js';
import type {EndpointAddress} from '../model/index.js';
import type {MetadataStore, StoreItem} from '../ports.js';

/** Lifetime of a registration without renewal: outlasts a short outage. */
const LEASE_TTL_MS = 15_000;

/** A third of the lease's TTL: two renewals may fail. */
const RENEWAL_INTERVAL_MS = 5_000;

/** Pause after a failed registration. */
const REGISTRATION_RETRY_MS = 500;

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
  return {instance, address, zone};
}

/** The name of the entry that is registered under a key below `prefix`. */
export function instanceOfKey(key: string, prefix: string): string {
  return key.slice(prefix.length);
}

/** Keeps this entry registered below `prefix` under a lease until `signal` is aborted. */
export async function keepRegistered(
  member: Member,
  prefix: string,
  store: MetadataStore,
  clock: Clock,
  log: Logger,
  signal: AbortSignal,
): Promise<void> {
  let leaseId: number | undefined;
  while (!signal.aborted) {
    leaseId =
      leaseId === undefined
        ? await register(member, prefix, store, log)
        : await renew(leaseId, store, log);
    const waitMs =
      leaseId === undefined ? REGISTRATION_RETRY_MS : RENEWAL_INTERVAL_MS;
    await sleep(clock, waitMs, signal);
  }
  if (leaseId !== undefined) await store.revokeLease(leaseId);
}

async function register(
  member: Member,
  prefix: string,
  store: MetadataStore,
  log: Logger,
): Promise<number | undefined> {
  const granted = await store.grantLease(LEASE_TTL_MS);
  if (granted.kind !== 'ok') return undefined;
  const leaseId = granted.value;
  const put = await store.put({
    key: `${prefix}${member.instance}`,
    value: Buffer.from(`${formatAddress(member.address)} ${member.zone}`),
    leaseId,
  });
  if (put.kind === 'ok') return leaseId;
  log.info('member.notRegistered', {cause: describeStoreFailure(put)});
  return undefined;
}

async function renew(
  leaseId: number,
  store: MetadataStore,
  log: Logger,
): Promise<number | undefined> {
  const renewed = await store.renewLease(leaseId);
  // After other failures the lease may still exist: it is not replaced but renewed again.
  if (renewed.kind !== 'missing') return leaseId;
  log.warn('member.leaseLost', {lease: leaseId});
  return undefined;
}
