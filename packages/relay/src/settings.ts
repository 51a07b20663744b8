import type {EndpointAddress} from './model/index.js';

/** What a process of the relay is told at its start. */
export interface RelaySettings {
  /** Name of this instance, unique in the deployment. */
  readonly instanceName: string;
  /** True while the whole deployment starts for the first time: nothing was there before. */
  readonly isFirstStart: boolean;
  /** Availability zone of this instance. */
  readonly zone: string;
  /** Regions of all availability zones, by zone. */
  readonly regions: ReadonlyMap<string, string>;
  readonly host: string;
  /** Port for links between our own processes. */
  readonly linkPort: number;
  /** Port on which this process serves its metrics. */
  readonly metricsPort: number;
  /** The platform's metadata store. */
  readonly store: EndpointAddress;
  /** Where callers connect; only an entry has it. */
  readonly callers?: EndpointAddress;
  /** Where the platform's balancer asks for readiness. */
  readonly readiness?: EndpointAddress;
  /** Where other processes find this one before they know the store. */
  readonly control?: EndpointAddress;
  /** Control addresses of some entries; may be stale. */
  readonly seeds: readonly EndpointAddress[];
  /** The endpoint beside which this process runs; only a sidecar has it. */
  readonly endpoint?: EndpointAddress;
  readonly endpointService?: string;
  readonly memoryMb: number;
  /** Time from SIGTERM to SIGKILL. */
  readonly graceMs: number;
  /** Longest time in which a leaving endpoint may still get new work. */
  readonly drainMs: number;
  /**
   * Longest time for which an evacuated zone may still get new work; undefined where
   * operators evacuate none.
   */
  readonly evacuateMs?: number;
  /** Pause between two registrations of an endpoint. */
  readonly heartbeatMs: number;
  /** Time after a disturbance from which on the bounds must hold again. */
  readonly settleMs: number;
  /** Longest time until a new configuration is in force. */
  readonly configApplyMs: number;
  /** Sends to a second endpoint, as a share of the requests. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Sends to a second endpoint that are free in each window, over all entries. */
  readonly retrySlack: number;
  /** An event handed on later than this after it was made is late. */
  readonly eventLagMs: number;
}
