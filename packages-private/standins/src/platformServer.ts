import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {
  Member,
  StoreCondition,
  StoredValue,
  StoreWrite,
} from '@lilacledge/store';
import {hash32, sleep} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import {readJson, sendJson} from './httpJson.js';
import {NO_FAULTS} from './platformFaults.js';
import type {PlatformFaults} from './platformFaults.js';
import {PlatformModel} from './platformModel.js';

interface EtcdRequestBody {
  readonly key?: string;
  readonly value?: string;
  readonly range_end?: string;
  readonly lease?: string;
  readonly ID?: string;
  readonly TTL?: number;
  readonly compare?: ReadonlyArray<{key: string; mod_revision: string}>;
  readonly success?: ReadonlyArray<{request_put: EtcdRequestBody}>;
  readonly create_request?: {key: string};
}

/** Body of `POST /control`: faults to set, and a one-time action. */
type PlatformControl = Partial<PlatformFaults> & {
  readonly action?: 'save' | 'restore' | 'lapseLeases' | 'endWatches';
};

const MS_PER_S = 1000;

/**
 * Serves the platform stand-in over HTTP: the JSON mapping of the etcd v3 API
 * for the key-value store, and a JSON document for the membership list.
 */
export function createPlatformServer(clock: Clock): Server {
  const model = new PlatformModel(clock);
  const faults = {...NO_FAULTS};
  const openWatches = new Set<ServerResponse>();
  let frozenMembers: Member[] = [];

  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = request.url ?? '';
    if (path === '/control') return applyControl(request, response);
    if (path === '/counters') return sendJson(response, 200, model.counters);
    if (path === '/members') return members(request, response);
    const body = (await readJson(request)) as EtcdRequestBody;
    if (faults.delayMs > 0) await sleep(clock, faults.delayMs);
    if (faults.isDown) return void response.destroy();
    if (path === '/v3/watch') return watch(request, response, body);
    const answer = handleStoreCall(path, body);
    if (isWrite(path) && faults.lostAnswers > 0) {
      faults.lostAnswers--;
      return void response.destroy();
    }
    sendJson(response, answer === undefined ? 404 : 200, answer ?? {});
  }

  function handleStoreCall(path: string, body: EtcdRequestBody): unknown {
    switch (path) {
      case '/v3/kv/range': {
        const end =
          body.range_end === undefined
            ? undefined
            : decodeBase64(body.range_end);
        const kvs = model
          .range(decodeBase64(body.key!), end)
          .map(encodeKeyValue);
        return {header: header(), kvs, count: String(kvs.length)};
      }
      case '/v3/kv/put':
        model.transact([], [parseWrite(body)]);
        return {header: header()};
      case '/v3/kv/txn':
        return transact(body);
      case '/v3/lease/grant':
        return {ID: model.grantLease(body.TTL! * MS_PER_S), TTL: body.TTL};
      case '/v3/lease/keepalive': {
        const remainingMs = model.keepLeaseAlive(body.ID!);
        return {result: {ID: body.ID, TTL: String(remainingMs / MS_PER_S)}};
      }
      case '/v3/lease/revoke':
        model.revokeLease(body.ID!);
        return {header: header()};
      default:
        return undefined;
    }
  }

  function transact(body: EtcdRequestBody): unknown {
    const conditions = (body.compare ?? []).map((compare): StoreCondition => ({
      key: decodeBase64(compare.key),
      modRevision: Number(compare.mod_revision),
    }));
    const writes = (body.success ?? []).map((op) => parseWrite(op.request_put));
    const result = model.transact(conditions, writes);
    return {header: header(), succeeded: result.outcome === 'swapped'};
  }

  function watch(
    request: IncomingMessage,
    response: ServerResponse,
    body: EtcdRequestBody,
  ): void {
    const key = decodeBase64(body.create_request!.key);
    response.writeHead(200, {'content-type': 'application/json'});
    response.write(`${JSON.stringify({result: {created: true}})}\n`);
    const stop = model.watch((changed) => {
      if (changed.key !== key || faults.isDown) return;
      const events = [{type: 'PUT', kv: encodeKeyValue(changed)}];
      response.write(`${JSON.stringify({result: {events}})}\n`);
    });
    openWatches.add(response);
    response.on('close', () => {
      openWatches.delete(response);
      stop();
    });
  }

  async function members(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.method === 'PUT') {
      model.members = (await readJson(request)) as Member[];
      return sendJson(response, 200, {});
    }
    model.counters.membershipReads++;
    if (!faults.isMembershipFrozen) frozenMembers = model.members;
    const etag = `"${hash32(JSON.stringify(frozenMembers))}"`;
    response.setHeader('etag', etag);
    if (request.headers['if-none-match'] === etag) {
      response.writeHead(304).end();
      return;
    }
    sendJson(response, 200, {members: frozenMembers});
  }

  async function applyControl(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const {action, ...changed} = (await readJson(request)) as PlatformControl;
    Object.assign(faults, changed);
    if (action === 'save') model.save();
    if (action === 'restore') model.restore();
    if (action === 'lapseLeases') model.lapseLeases();
    if (action === 'endWatches' || faults.isDown) {
      for (const open of openWatches) open.destroy();
    }
    sendJson(response, 200, {});
  }

  function header(): {revision: string} {
    return {revision: String(model.storeRevision)};
  }

  return createServer((request, response) => {
    serve(request, response).catch((error: unknown) => {
      sendJson(response, 400, {error: String(error)});
    });
  });
}

function isWrite(path: string): boolean {
  return path !== '/v3/kv/range';
}

function parseWrite(body: EtcdRequestBody): StoreWrite {
  return {
    key: decodeBase64(body.key!),
    value: decodeBase64(body.value ?? ''),
    ...(body.lease === undefined ? {} : {leaseId: body.lease}),
  };
}

function encodeKeyValue(stored: StoredValue): unknown {
  return {
    key: encodeBase64(stored.key),
    value: encodeBase64(stored.value),
    mod_revision: String(stored.modRevision),
  };
}

function encodeBase64(text: string): string {
  return Buffer.from(text).toString('base64');
}

function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString();
}
