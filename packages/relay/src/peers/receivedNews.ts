import {assertNever} from '@lilacledge/shared';
import type {RelayContext} from '../requests/relayContext.js';
import {SuspicionSource} from '../suspicions/requestSuspicions.js';
import type {Peer} from './peerMesh.js';
import type {
  EndpointDoubted,
  FormerRetryUse,
  RetryUseNotice,
  SuspicionNotice,
  ZoneLoadNotice,
  ZoneStatusNotice,
} from './peerMessages.js';

/** What another entry tells of endpoints, zones, requests and of itself. */
export type EntryNews =
  | EndpointDoubted
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
  const doubted = endpoints.get(endpointId);
  // What befell another life under the id says nothing of this one.
  if (doubted === undefined || doubted.record.startedAtMs !== startedAtMs) {
    return;
  }
  doubted.health.takeDoubt(clock.nowMs(), forMs);
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
