import type {PeerLimitReport, Suspicion} from '@lilacledge/policy';
import type {ActiveConfig} from '../config/activeConfig.js';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {RelayContext} from '../requests/relayContext.js';
import type {Peer} from './peerMesh.js';
import {PeerRole, readsType} from './peerMessages.js';
import type {PeerMessage} from './peerMessages.js';
import type {SuspicionNotice} from './stateMessages.js';
import {MAX_SHORT_COMPANY} from './suspicionMessage.js';

/** State whose changes are broadcast. */
type UpdateSources = Pick<
  RelayContext,
  'endpoints' | 'statements' | 'evacuations' | 'suspicions' | 'switches'
>;

/**
 * Calls `broadcast` with each state update for other entries. Updates received from peers
 * are forwarded like local ones, except for those about the peer itself. Known updates are
 * not forwarded again, so that each crosses every link once.
 */
export function broadcastUpdates(
  {endpoints, statements, evacuations, suspicions, switches}: UpdateSources,
  config: ActiveConfig,
  broadcast: (message: PeerMessage) => void,
): void {
  config.onChange(() => {
    broadcast({type: 'configNotice', version: config.version});
  });
  endpoints.onDoubtToReport(({id: endpointId, record}, forMs) => {
    if (!switches.toldDoubts) return;
    const {startedAtMs} = record;
    broadcast({type: 'endpointDoubted', endpointId, startedAtMs, forMs});
  });
  statements.onLimitToReport((endpoint, limit) => {
    broadcast(limitNotice(endpoint, limit));
  });
  evacuations.onChange((status) => {
    broadcast({type: 'zoneStatus', ...status});
  });
  suspicions.onChange((suspicion) => {
    broadcast(suspicionNotice(suspicion));
  });
}

/** The known state, which is sent to an entry when a link to it opens. */
export function knownState(
  {
    statements,
    evacuations,
    suspicions,
  }: Omit<UpdateSources, 'endpoints' | 'switches'>,
  config: ActiveConfig,
): PeerMessage[] {
  return [
    {type: 'configNotice', version: config.version},
    ...statements.limits.map(([endpoint, limit]) =>
      limitNotice(endpoint, limit),
    ),
    ...evacuations.statuses.map(
      (status) => ({type: 'zoneStatus', ...status}) as const,
    ),
    ...suspicions.all.map(suspicionNotice),
  ];
}

/** Sends a message to the linked entries that read it. */
export function sendToEntries(
  peers: Iterable<Peer>,
  message: PeerMessage,
): void {
  for (const peer of peers) {
    const {hello} = peer;
    const isReader = readsType(hello, message.type);
    if (hello.role === PeerRole.ENTRY && isReader) peer.send(message);
  }
}

function suspicionNotice(suspicion: Suspicion): SuspicionNotice {
  const isLong = suspicion.ends.some(
    ({company}) => company !== undefined && company.length > MAX_SHORT_COMPANY,
  );
  return {type: isLong ? 'longSuspicion' : 'suspicion', ...suspicion};
}

function limitNotice(
  {id, record}: Endpoint,
  limit: PeerLimitReport,
): PeerMessage {
  const {startedAtMs} = record;
  return {type: 'endpointLimit', endpointId: id, startedAtMs, ...limit};
}
