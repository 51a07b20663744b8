import type {KeyValueStore} from '@lilacledge/store';
import type {Clock, Random} from '@lilacledge/shared';
import type {Logger, MetricsRegistry, Tracer} from '@lilacledge/telemetry';
import type {EnginePort} from './ports/enginePort.js';
import type {PlainPort} from './ports/plainPort.js';

/** The endpoint that a sidecar serves. */
export type EndpointPort =
  | {readonly kind: 'engine'; readonly engine: EnginePort}
  | {readonly kind: 'plain'; readonly plain: PlainPort};

/** External dependencies of a sidecar. */
export interface SidecarPorts {
  readonly clock: Clock;
  readonly random: Random;
  readonly store: KeyValueStore;
  readonly endpoint: EndpointPort;
  readonly logger: Logger;
  readonly metrics: MetricsRegistry;
  readonly tracer: Tracer;
}
