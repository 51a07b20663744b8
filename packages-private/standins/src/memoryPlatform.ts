import {StoreError} from '@lilacledge/store';
import type {
  KeyValueStore,
  MembershipList,
  StoredValue,
} from '@lilacledge/store';
import {AsyncQueue, sleep} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import {NO_FAULTS} from './platformFaults.js';
import type {PlatformFaults} from './platformFaults.js';
import {PlatformModel} from './platformModel.js';

/**
 * The platform's store and membership list in memory, for tests on a virtual
 * clock.
 */
export interface MemoryPlatform {
  readonly model: PlatformModel;
  readonly faults: PlatformFaults;
  readonly store: KeyValueStore;
  readonly membership: MembershipList;
}

export function createMemoryPlatform(
  clock: Clock,
  latencyMs: number,
): MemoryPlatform {
  const model = new PlatformModel(clock);
  const faults = {...NO_FAULTS};

  async function read<T>(run: () => T): Promise<T> {
    await sleep(clock, latencyMs + faults.delayMs);
    if (faults.isDown) throw new StoreError('unavailable', 'down');
    return run();
  }

  async function write<T>(run: () => T): Promise<T> {
    await sleep(clock, latencyMs + faults.delayMs);
    if (faults.isDown) throw new StoreError('unknown', 'down');
    const result = run();
    if (faults.lostAnswers > 0) {
      faults.lostAnswers--;
      throw new StoreError('unknown', 'the answer to the write was lost');
    }
    return result;
  }

  async function* watch(
    key: string,
    signal: AbortSignal,
  ): AsyncIterable<StoredValue> {
    if (faults.isDown) throw new StoreError('unavailable', 'down');
    const changes = new AsyncQueue<StoredValue>();
    const stop = model.watch((changed) => {
      if (changed.key === key && !faults.isDown) changes.push(changed);
    });
    signal.addEventListener('abort', () => changes.close(), {once: true});
    try {
      yield* changes;
    } finally {
      stop();
    }
  }

  const store: KeyValueStore = {
    get: (key) => read(() => model.range(key)[0]),
    list: (prefix) => read(() => model.range(prefix, `${prefix}\uffff`)),
    put: (put) => write(() => void model.transact([], [put])),
    compareAndSwap: (conditions, writes) =>
      write(() => model.transact(conditions, writes)),
    grantLease: (ttlMs) => write(() => model.grantLease(ttlMs)),
    keepLeaseAlive: (id) => write(() => model.keepLeaseAlive(id)),
    revokeLease: (id) => write(() => model.revokeLease(id)),
    watch,
  };
  const membership: MembershipList = {
    async read() {
      await sleep(clock, latencyMs);
      model.counters.membershipReads++;
      return [...model.members];
    },
  };
  return {model, faults, store, membership};
}
