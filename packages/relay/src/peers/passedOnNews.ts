import type {ToldLimit} from '@lilacledge/policy';
import type {ConfigKeeper} from '../config/configKeeper.js';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {RelayContext} from '../requests/relayContext.js';
import type {PeerMessage} from './peerMessages.js';

/** What news is taken from. */
type NewsSources = Pick<
  RelayContext,
  | 'endpoints'
  | 'statements'
  | 'evacuations'
  | 'suspicions'
  | 'retryBudgets'
  | 'switches'
>;

/**
 * Calls `broadcast` with each piece of news for other entries. What a peer told is passed on
 * like what this entry saw itself, but for what it told of itself alone: news ends where it is
 * known, so that it spreads over all links once.
 */
export function passNewsOn(
  {
    endpoints,
    statements,
    evacuations,
    suspicions,
    retryBudgets,
    switches,
  }: NewsSources,
  config: ConfigKeeper,
  broadcast: (message: PeerMessage) => void,
): void {
  config.onChange(() => {
    broadcast({type: 'configNotice', version: config.version});
  });
  endpoints.onDoubtToTell(({id: endpointId, record}, forMs) => {
    if (!switches.toldDoubts) return;
    const {startedAtMs} = record;
    broadcast({type: 'endpointDoubted', endpointId, startedAtMs, forMs});
  });
  statements.onLimitToTell((endpoint, told) => {
    broadcast(limitNotice(endpoint, told));
  });
  evacuations.onChange((status) => {
    broadcast({type: 'zoneStatus', ...status});
  });
  suspicions.onChange((suspicion) => {
    broadcast({type: 'suspicion', ...suspicion});
  });
  retryBudgets.onNews((told) => {
    broadcast({type: 'retryUse', ...told});
  });
}

/** What an entry is told that has just linked to this one. */
export function knownNews(
  {
    statements,
    evacuations,
    suspicions,
    retryBudgets,
  }: Omit<NewsSources, 'endpoints' | 'switches'>,
  config: ConfigKeeper,
): PeerMessage[] {
  return [
    // First, as it names the life of the process that all else comes from.
    {type: 'retryUse', ...retryBudgets.ownUse},
    {type: 'configNotice', version: config.version},
    ...statements.limits.map(([endpoint, told]) => limitNotice(endpoint, told)),
    ...evacuations.statuses.map(
      (status) => ({type: 'zoneStatus', ...status}) as const,
    ),
    ...suspicions.all.map(
      (suspicion) => ({type: 'suspicion', ...suspicion}) as const,
    ),
  ];
}

function limitNotice({id, record}: Endpoint, told: ToldLimit): PeerMessage {
  const {startedAtMs} = record;
  return {type: 'endpointLimit', endpointId: id, startedAtMs, ...told};
}
