import type {BodyTransfer} from '../http/callHttp.js';
import type {MetadataStore, StoreReply} from '../ports.js';
import type {RelayMetrics} from '../relayMetrics.js';

/** The same store, with its calls counted by what became of them, and its reads measured. */
export function countCalls(
  store: MetadataStore,
  metrics: RelayMetrics,
): MetadataStore {
  async function counted<T>(
    call: Promise<StoreReply<T>>,
  ): Promise<StoreReply<T>> {
    const reply = await call;
    metrics.storeCalls.inc({answer: reply.kind});
    return reply;
  }

  async function measured<T extends {readonly transfer: BodyTransfer}>(
    call: Promise<StoreReply<T>>,
  ): Promise<StoreReply<T>> {
    const reply = await counted(call);
    if (reply.kind === 'ok') {
      const {bytes, tookMs} = reply.value.transfer;
      metrics.storeBodyBytes.observe(bytes);
      metrics.storeTransfers.observe(tookMs / 1_000);
    }
    return reply;
  }

  return {
    list: (prefix, afterKey, begun) =>
      measured(store.list(prefix, afterKey, begun)),
    watch: (prefix, afterRevision, waitMs, signal) =>
      measured(store.watch(prefix, afterRevision, waitMs, signal)),
    grantLease: (ttlMs) => counted(store.grantLease(ttlMs)),
    renewLease: (leaseId) => counted(store.renewLease(leaseId)),
    endLease: (leaseId) => counted(store.endLease(leaseId)),
    put: (write) => counted(store.put(write)),
  };
}
