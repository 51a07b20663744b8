import type {EntrySettings} from '@lilacledge/config';
import type {
  EndpointChooser,
  OrganisationLimiter,
  SharedRetryBudget,
} from '@lilacledge/policy';
import type {DecisionLog} from './decisionLog.js';
import type {EntryMetrics} from './entryMetrics.js';
import type {EntryPorts} from './entryPorts.js';
import type {PeerPool} from './peerPool.js';

/** Dependencies and state that the request handlers of one entry share. */
export interface EntryContext {
  readonly ports: EntryPorts;
  readonly settings: EntrySettings;
  readonly metrics: EntryMetrics;
  readonly pool: PeerPool;
  readonly chooser: EndpointChooser;
  readonly organisationLimiter: OrganisationLimiter;
  readonly retryBudget: SharedRetryBudget;
  readonly decisions: DecisionLog;
}
