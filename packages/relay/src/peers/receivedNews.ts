import {assertNever} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {EndpointDirectory} from '../endpoints/endpointDirectory.js';
import type {RelayContext} from '../requests/relayContext.js';
import {SuspicionSource} from '../suspicions/requestSuspicions.js';
import type {Peer} from './peerMesh.js';
import type {
  EndpointDoubted,
  EndpointLimitNotice,
  FormerRetryUse,
  RetryUseNotice,
  SuspicionNotice,
  ZoneLoadNotice,
  ZoneStatusNotice,
} from './peerMessages.js';

/** What another entry tells of endpoints, zones, requests and of itself. */
export type EntryNews =
  | EndpointDoubted
  | EndpointLimitNotice
  | ZoneStatusNotice
  | SuspicionNotice
  | RetryUseNotice
  | FormerRetryUse
  | ZoneLoadNotice;

/** Takes over what another entry tells. */
export function takeNews(
  context: RelayContext,
  peer: Peer,
  news: EntryNews,
): void {
  switch (news.type) {
    case 'endpointDoubted':
      takeDoubt(context, news);
      return;
    case 'endpointLimit':
      takeLimit(context, news);
      return;
    case 'zoneStatus': {
      const {zone, isEvacuated, revision} = news;
      context.evacuations.noteTold({zone, isEvacuated, revision});
      return;
    }
    case 'suspicion': {
      const {fingerprint, ends, cleared} = news;
      const suspicion = {fingerprint, ends, cleared};
      context.suspicions.noteTold(suspicion, SuspicionSource.PEER);
      return;
    }
    case 'retryUse':
      takeRetryUse(context, peer, news);
      return;
    case 'formerRetryUse':
      context.retryBudgets.noteFormer(news);
      return;
    case 'zoneLoad':
      context.zoneLoads.note(news, context.clock.nowMs());
      return;
    default:
      assertNever(news);
  }
}

function takeDoubt(
  {endpoints, clock}: RelayContext,
  {endpointId, startedAtMs, forMs}: EndpointDoubted,
): void {
  const doubted = lifeOf(endpoints, endpointId, startedAtMs);
  doubted?.health.takeDoubt(clock.nowMs(), forMs);
}

function takeLimit(
  {endpoints, statements}: RelayContext,
  {endpointId, startedAtMs, perS, ageMs, version, origin}: EndpointLimitNotice,
): void {
  const endpoint = lifeOf(endpoints, endpointId, startedAtMs);
  if (endpoint === undefined) return;
  // MessagePack has null for what is undefined.
  const told = {perS: perS ?? undefined, ageMs, version, origin};
  statements.noteLimitTold(endpoint, told);
}

/** What is said of another life under an id says nothing of the known one. */
function lifeOf(
  endpoints: EndpointDirectory,
  endpointId: string,
  startedAtMs: number | undefined,
): Endpoint | undefined {
  const known = endpoints.get(endpointId);
  const isSame = known?.record.startedAtMs === (startedAtMs ?? undefined);
  return isSame ? known : undefined;
}

/** An entry that has started anew is answered with what its former life had taken. */
function takeRetryUse(
  {retryBudgets}: RelayContext,
  {hello, send}: Peer,
  told: RetryUseNotice,
): void {
  const former = retryBudgets.noteTold(hello.instance, told);
  if (former !== undefined) send({type: 'formerRetryUse', ...former});
}
