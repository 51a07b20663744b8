import type {ConfigStore, MembershipList} from '@lilacledge/store';
import type {LinkDialer} from '@lilacledge/protocol';
import type {Clock, Random} from '@lilacledge/shared';
import type {Logger, MetricsRegistry, Tracer} from '@lilacledge/telemetry';

/** Interfaces to everything outside the entry process. */
export interface EntryPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly configStore: ConfigStore;
  readonly membership: MembershipList;
  readonly dialer: LinkDialer;
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
  readonly tracer: Tracer;
}
