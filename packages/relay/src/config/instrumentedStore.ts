import type {BodyTransfer} from '../http/callHttp.js';
import type {MetadataStore, StoreReply} from '../ports.js';
import type {RelayMetrics} from '../relayMetrics.js';

/**
 * Wraps a store to record metrics: the calls by kind of reply, and the size and transfer
 * time of reads.
 */
export function instrumentStore(
  store: MetadataStore,
  metrics: RelayMetrics,
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
    }
    return reply;
  }

  return {
    list: (prefix, afterKey, progressed, signal) =>
      recordRead(store.list(prefix, afterKey, progressed, signal)),
    watch: (prefix, afterRevision, waitMs, signal, progressed) =>
      recordRead(
        store.watch(prefix, afterRevision, waitMs, signal, progressed),
      ),
    grantLease: (ttlMs) => recordReply(store.grantLease(ttlMs)),
    renewLease: (lease) => recordReply(store.renewLease(lease)),
    put: (write) => recordReply(store.put(write)),
    remove: (key, revision) => recordReply(store.remove(key, revision)),
    onRestored: (listener) => store.onRestored(listener),
  };
}
