import {request} from 'undici';
import type {Dispatcher} from 'undici';
import {platformAgent} from './platformAgent.js';
import type {
  CompareAndSwapResult,
  KeyValueStore,
  StoreCondition,
  StoredValue,
  StoreWrite,
} from './ports.js';
import {StoreError} from './storeError.js';

interface WireKeyValue {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision: string;
}

interface WireRange {
  readonly kvs?: readonly WireKeyValue[];
}

interface WireTxn {
  readonly succeeded?: boolean;
  readonly header: {readonly revision: string};
}

interface WireWatch {
  readonly result?: {
    readonly created?: boolean;
    readonly events?: ReadonlyArray<{
      readonly type?: string;
      readonly kv: WireKeyValue;
    }>;
  };
}

export interface EtcdStoreSettings {
  readonly url: string;
  readonly requestTimeoutMs: number;
}

/**
 * A client of the etcd v3 API in its JSON form (`/v3/kv/range`, `/v3/kv/txn`, `/v3/lease/*`,
 * `/v3/watch`), where keys and values are base64 and 64-bit numbers are strings.
 */
export function createEtcdStore(settings: EtcdStoreSettings): KeyValueStore {
  const call = <T>(path: string, body: unknown, isWrite: boolean): Promise<T> =>
    post<T>(settings, path, body, isWrite);
  return {
    async get(key) {
      const range = await call<WireRange>(
        '/v3/kv/range',
        {key: encodeBase64(key)},
        false,
      );
      return range.kvs?.map(toStoredValue)[0];
    },
    async list(prefix) {
      const body = {
        key: encodeBase64(prefix),
        range_end: encodeBase64(prefixEnd(prefix)),
      };
      const range = await call<WireRange>('/v3/kv/range', body, false);
      return (range.kvs ?? []).map(toStoredValue);
    },
    async put(write) {
      await call('/v3/kv/put', toWirePut(write), true);
    },
    async compareAndSwap(conditions, writes) {
      const body = toWireTxn(conditions, writes);
      return toSwapResult(await call<WireTxn>('/v3/kv/txn', body, true));
    },
    async grantLease(ttlMs) {
      const body = {TTL: Math.ceil(ttlMs / 1000)};
      const granted = await call<{ID: string}>('/v3/lease/grant', body, true);
      return granted.ID;
    },
    async keepLeaseAlive(leaseId) {
      const body = {ID: leaseId};
      const renewal = await call<{result?: {TTL?: string}}>(
        '/v3/lease/keepalive',
        body,
        true,
      );
      return Number(renewal.result?.TTL ?? 0) * 1000;
    },
    async revokeLease(leaseId) {
      await call('/v3/lease/revoke', {ID: leaseId}, true);
    },
    watch: (key, signal) => watchKey(settings, key, signal),
  };
}

async function post<T>(
  settings: EtcdStoreSettings,
  path: string,
  body: unknown,
  isWrite: boolean,
): Promise<T> {
  let response: Dispatcher.ResponseData;
  let text: string;
  try {
    response = await request(settings.url + path, {
      dispatcher: platformAgent,
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
      headersTimeout: settings.requestTimeoutMs,
      bodyTimeout: settings.requestTimeoutMs,
      signal: AbortSignal.timeout(settings.requestTimeoutMs),
    });
    text = await response.body.text();
  } catch (error) {
    throw toStoreError(error, isWrite);
  }
  if (response.statusCode !== 200) {
    // An error status means that the service has not applied the call.
    throw new StoreError('unavailable', `status ${response.statusCode}`);
  }
  return JSON.parse(text) as T;
}

function toStoreError(error: unknown, isWrite: boolean): StoreError {
  const code = (error as {code?: string}).code ?? '';
  const wasNotSent =
    code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
  const kind = isWrite && !wasNotSent ? 'unknown' : 'unavailable';
  return new StoreError(kind, code || String(error));
}

async function* watchKey(
  settings: EtcdStoreSettings,
  key: string,
  signal: AbortSignal,
): AsyncIterable<StoredValue> {
  const response = await request(`${settings.url}/v3/watch`, {
    dispatcher: platformAgent,
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({create_request: {key: encodeBase64(key)}}),
    headersTimeout: settings.requestTimeoutMs,
    bodyTimeout: 0,
    signal,
  });
  let buffered = '';
  for await (const chunk of response.body) {
    buffered += String(chunk);
    const lines = buffered.split('\n');
    buffered = lines.pop()!;
    for (const line of lines) {
      if (line.trim() !== '') yield* parseWatchLine(line);
    }
  }
}

function parseWatchLine(line: string): StoredValue[] {
  const message = JSON.parse(line) as WireWatch;
  const events = message.result?.events ?? [];
  return events
    .filter((event) => event.type !== 'DELETE')
    .map((event) => toStoredValue(event.kv));
}

function toWireTxn(
  conditions: readonly StoreCondition[],
  writes: readonly StoreWrite[],
): unknown {
  return {
    compare: conditions.map((condition) => ({
      key: encodeBase64(condition.key),
      target: 'MOD',
      result: 'EQUAL',
      mod_revision: String(condition.modRevision),
    })),
    success: writes.map((write) => ({request_put: toWirePut(write)})),
    failure: [],
  };
}

function toWirePut(write: StoreWrite): unknown {
  return {
    key: encodeBase64(write.key),
    value: encodeBase64(write.value),
    ...(write.leaseId === undefined ? {} : {lease: write.leaseId}),
  };
}

function toSwapResult(txn: WireTxn): CompareAndSwapResult {
  if (txn.succeeded !== true) return {outcome: 'conflict'};
  return {outcome: 'swapped', modRevision: Number(txn.header.revision)};
}

function toStoredValue(wire: WireKeyValue): StoredValue {
  return {
    key: decodeBase64(wire.key),
    value: decodeBase64(wire.value ?? ''),
    modRevision: Number(wire.mod_revision),
  };
}

/** The first key after all keys that start with `prefix`; keys are ASCII. */
function prefixEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}

function encodeBase64(text: string): string {
  return Buffer.from(text).toString('base64');
}

function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString();
}
