import type {GarbageBound} from '@lilacledge/policy';
import type {BodyTransfer} from '../http/callHttp.js';
import type {MetadataStore, StoreReply} from '../ports.js';
import type {RelayMetrics} from '../relayMetrics.js';

/**
 * Wraps a store to record metrics: the calls by kind of reply, and the size and transfer
 * time of reads. The garbage of reads is bounded.
 */
export function instrumentStore(
  store: MetadataStore,
  metrics: RelayMetrics,
  garbage: GarbageBound,
): MetadataStore {
  async function recordReply<T>(
    call: Promise<StoreReply<T>>,
  ): Promise<StoreReply<T>> {
    const reply = await call;
    metrics.storeCalls.inc({answer: reply.kind});
    return reply;
  }

  async function recordRead<T extends {readonly transfer: BodyTransfer}>(
    call: Promise<StoreReply<T>>,
  ): Promise<StoreReply<T>> {
    const reply = await recordReply(call);
    if (reply.kind === 'ok') {
      const {bytes, tookMs} = reply.value.transfer;
      metrics.storeBodyBytes.observe(bytes);
      metrics.storeTransfers.observe(tookMs / 1_000);
      garbage.noteDecoded(bytes);
    }
    return reply;
  }

  /** Notes what arrives, as an answer may be given up in the middle. */
  function noting(progressed?: (bytes: number) => void) {
    return (bytes: number): void => {
      garbage.noteRead(bytes);
      progressed?.(bytes);
    };
  }

  return {
    list: (prefix, afterKey, progressed, signal) =>
      recordRead(store.list(prefix, afterKey, noting(progressed), signal)),
    watch: (prefix, afterRevision, waitMs, signal, progressed) =>
      recordRead(
        store.watch(prefix, afterRevision, waitMs, signal, noting(progressed)),
      ),
    grantLease: (ttlMs) => recordReply(store.grantLease(ttlMs)),
    renewLease: (lease) => recordReply(store.renewLease(lease)),
    put: (write) => recordReply(store.put(write)),
    remove: (key, revision) => recordReply(store.remove(key, revision)),
    onRestored: (listener) => store.onRestored(listener),
  };
}
