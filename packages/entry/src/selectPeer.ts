import type {RoutingRule, RouteRequest} from '@lilacledge/policy';
import {SidecarState} from '@lilacledge/protocol';
import type {EntryContext} from './entryContext.js';
import type {SidecarPeer} from './sidecarPeer.js';

/** Peers of a service that accept new work, without those already tried. */
export function servingPeers(
  context: EntryContext,
  service: string,
  tried: ReadonlySet<string>,
): SidecarPeer[] {
  const untried = context.pool
    .ofService(service)
    .filter((peer) => !tried.has(peer.member.instanceId));
  const serving = untried.filter((peer) => peer.isServing);
  if (serving.length > 0) return serving;
  // The membership list may be wrong if it marks every endpoint of a service as
  // leaving, so the endpoints' own load reports decide then.
  return untried.filter(
    (peer) => peer.isOpen && peer.load.state === SidecarState.SERVING,
  );
}

/** Chooses a peer for a request; undefined when none is left to try. */
export function selectPeer(
  context: EntryContext,
  requestId: string,
  service: string,
  rule: RoutingRule,
  request: RouteRequest,
  blocks: readonly number[],
  tried: ReadonlySet<string>,
): SidecarPeer | undefined {
  const peers = servingPeers(context, service, tried);
  if (peers.length === 0) return undefined;
  const candidates = peers.map((peer) => toCandidate(context, peer, blocks));
  const choice = context.chooser.choose(rule, candidates, request);
  context.decisions.note(
    requestId,
    'endpoint chosen',
    `${choice.id} by ${choice.rule}, score ${choice.score.toFixed(1)} of ${choice.sampled} sampled, ${peers.length} serving`,
  );
  const chosen = peers.find((peer) => peer.member.instanceId === choice.id);
  chosen?.prefixHints.note(blocks);
  return chosen;
}

function toCandidate(
  context: EntryContext,
  peer: SidecarPeer,
  blocks: readonly number[],
): Parameters<EntryContext['chooser']['choose']>[1][number] {
  const {load} = peer;
  return {
    id: peer.member.instanceId,
    isSameZone: peer.member.zone === context.settings.zone,
    outstanding: peer.outstanding,
    unreportedTokens: peer.unreportedTokens,
    predictedWaitMs: load.predictedWaitMs,
    tokenMs: load.tokenMs,
    backlogTokens: load.backlogTokens,
    maxBatch: load.maxBatch,
    reportAgeMs: peer.reportAgeMs,
    cachedTokens: peer.prefixHints.cachedTokens(blocks),
  };
}
