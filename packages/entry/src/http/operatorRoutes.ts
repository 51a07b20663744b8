import {timingSafeEqual} from 'node:crypto';
import {
  fleetConfigSchema,
  formatIssues,
  parseDocument,
} from '@lilacledge/config';
import type {ConfigWrite, FleetConfig} from '@lilacledge/config';
import {ApplyOutcome, OperatorService} from '@lilacledge/operator-api';
import type {ApplyConfigRequest} from '@lilacledge/operator-api';
import type {ApplyResult} from '@lilacledge/store';
import {assertNever} from '@lilacledge/shared';
import {Code, ConnectError} from '@connectrpc/connect';
import type {
  ConnectRouter,
  Interceptor,
  ServiceImpl,
} from '@connectrpc/connect';
import type {Entry} from '../createEntry.js';
import type {SidecarPeer} from '../sidecarPeer.js';

/** Registers the operator API of an entry. */
export function createOperatorRoutes(
  entry: Entry,
): (router: ConnectRouter) => void {
  return (router) => {
    router.service(OperatorService, createOperatorService(entry));
  };
}

/** Rejects calls without the operator key as bearer token. */
export function requireOperatorKey(key: string): Interceptor {
  const expected = Buffer.from(`Bearer ${key}`);
  return (next) => (request) => {
    const received = Buffer.from(request.header.get('authorization') ?? '');
    const isSame =
      received.length === expected.length &&
      timingSafeEqual(received, expected);
    if (isSame) return next(request);
    throw new ConnectError('wrong operator key', Code.Unauthenticated);
  };
}

function createOperatorService(
  entry: Entry,
): ServiceImpl<typeof OperatorService> {
  return {
    async applyConfig(request) {
      const config = parseConfig(request);
      const result = await entry.ports.configStore.apply(
        {
          writeId: request.writeId,
          author: request.author,
          baseRevision: Number(request.baseRevision),
          config,
        },
        entry.config.revision,
      );
      return toApplyResponse(entry, result);
    },
    async getConfig(request) {
      const state = await readState(entry, Number(request.revision));
      return {
        revision: BigInt(state.revision),
        document: JSON.stringify(state.config, null, 2),
      };
    },
    listHistory() {
      const writes = entry.config.current?.head.writes ?? [];
      return {changes: writes.map(toChange)};
    },
    async restoreConfig(request) {
      const current = entry.config.current;
      if (current === undefined) {
        throw new ConnectError('no configuration known', Code.Unavailable);
      }
      const result = await entry.ports.configStore.restore(
        current,
        request.writeId,
        request.author,
      );
      return toApplyResponse(entry, result);
    },
    getStatus() {
      return {
        instanceId: entry.settings.instanceId,
        zone: entry.settings.zone,
        revision: BigInt(entry.config.revision),
        storeBehindBy: BigInt(entry.config.storeBehindBy),
        openRequests: entry.openRequests,
        endpoints: entry.pool.all().map(toEndpointStatus),
      };
    },
    drainEndpoint(request) {
      const peer = entry.pool.find(request.instanceId);
      if (peer?.isOpen !== true) return {sent: false};
      peer.send({type: 'drain', reason: request.reason});
      return {sent: true};
    },
    explainRequest(request) {
      const decisions = entry.decisions.explain(request.requestId);
      return {
        decisions: decisions.map(({atWallMs, what, detail}) => ({
          atUnixMs: BigInt(atWallMs),
          what,
          detail,
        })),
      };
    },
  };
}

function parseConfig(request: ApplyConfigRequest): FleetConfig {
  if (request.writeId === '') {
    throw new ConnectError('write_id is missing', Code.InvalidArgument);
  }
  const parsed = parseDocument(request.document, fleetConfigSchema);
  if (parsed.ok) return parsed.value;
  const text = formatIssues('document', parsed.issues);
  throw new ConnectError(text, Code.InvalidArgument);
}

async function readState(
  entry: Entry,
  revision: number,
): Promise<{revision: number; config: FleetConfig}> {
  const {config} = entry;
  if (config.current === undefined) {
    throw new ConnectError('no configuration known', Code.Unavailable);
  }
  if (revision === 0 || revision === config.revision) {
    return {revision: config.revision, config: config.current.config};
  }
  const {configStore} = entry.ports;
  const head = await configStore.readRevision(revision);
  if (head === undefined) {
    throw new ConnectError(`revision ${revision} is not kept`, Code.NotFound);
  }
  const state = await configStore.readState(head, config.current);
  return {revision, config: state.config};
}

async function toApplyResponse(entry: Entry, result: ApplyResult) {
  switch (result.outcome) {
    case 'applied':
      // The watch would deliver the change too, but later.
      await entry.refreshConfig().catch(() => {});
      return {
        outcome: ApplyOutcome.APPLIED,
        revision: BigInt(result.revision),
      };
    case 'conflict':
      return {
        outcome: ApplyOutcome.CONFLICT,
        revision: BigInt(result.head.revision),
        detail: 'the configuration was changed by somebody else',
        changedParts: [...result.changed],
        newestChange: result.head.writes.slice(0, 1).map(toChange)[0],
      };
    case 'notApplied':
      return {outcome: ApplyOutcome.NOT_APPLIED, detail: result.detail};
    case 'unknown':
      return {
        outcome: ApplyOutcome.UNKNOWN,
        detail: `${result.detail}; ask again with the same write id`,
      };
    case 'storeBehind':
      return {
        outcome: ApplyOutcome.STORE_BEHIND,
        revision: BigInt(result.storeRevision),
        detail: 'the store is older than this entry; see config restore',
      };
    default:
      return assertNever(result);
  }
}

function toChange(write: ConfigWrite) {
  return {
    writeId: write.id,
    revision: BigInt(write.revision),
    author: write.author,
    atUnixMs: BigInt(write.atWallMs),
  };
}

function toEndpointStatus(peer: SidecarPeer) {
  const {member, load} = peer;
  return {
    instanceId: member.instanceId,
    service: member.service,
    zone: member.zone,
    state: peer.isOpen ? load.state : 'unreachable',
    running: load.running,
    queued: load.queued,
    memoryShare: load.memoryShare,
    predictedWaitMs: load.predictedWaitMs,
    slots: peer.grants.length,
  };
}
