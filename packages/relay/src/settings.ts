import {
  heldProcessLimitBytes,
  heldRequestsLimitBytes,
  payloadLimitBytes,
  storeAnswerLimitBytes,
} from '@lilacledge/policy';
import type {PayloadKind} from '@lilacledge/policy';
import type {EndpointAddress} from './model/index.js';

/** Start settings of a relay process, an entry or a sidecar. */
export interface RelaySettings {
  /** Name of this instance, unique in the deployment. */
  readonly instanceName: string;
  /** True during the first start of the whole deployment, which has no former state. */
  readonly isFirstStart: boolean;
  /** Availability zone of this instance. */
  readonly zone: string;
  /** Region of each availability zone, by zone. */
  readonly regions: ReadonlyMap<string, string>;
  readonly host: string;
  /** Port for links between entries and sidecars. */
  readonly linkPort: number;
  /** Port of the metrics server. */
  readonly metricsPort: number;
  /** Address of the platform's metadata store. */
  readonly store: EndpointAddress;
  /** Listen address for callers; set only for an entry. */
  readonly callers?: EndpointAddress;
  /** Listen address for the readiness checks of the platform's balancer. */
  readonly readiness?: EndpointAddress;
  /** Address at which other processes link to this one before they have read the store. */
  readonly control?: EndpointAddress;
  /** Control addresses of some entries; may be outdated. */
  readonly seeds: readonly EndpointAddress[];
  /** Address of the endpoint beside this process; set only for a sidecar. */
  readonly endpoint?: EndpointAddress;
  readonly endpointService?: string;
  readonly memoryMb: number;
  /** Bandwidth of the link of this instance; undefined if unknown. */
  readonly linkMbps?: number;
  /** Descriptors that this process may have open; undefined if unknown. */
  readonly fileDescriptors?: number;
  /** Grace period from SIGTERM to SIGKILL. */
  readonly graceMs: number;
  /** Longest time for which a leaving endpoint may still get new requests. */
  readonly drainMs: number;
  /**
   * Longest time for which an evacuated zone may still get new requests; undefined where
   * operators can't evacuate zones.
   */
  readonly evacuateMs?: number;
  /** Time between two registrations of an endpoint. */
  readonly heartbeatMs: number;
  /** Time after the end of a disturbance within which the other bounds must hold again. */
  readonly settleMs: number;
  /** Longest time until a new configuration is active. */
  readonly configApplyMs: number;
  /** Allowed sends to a second endpoint, as a share of the requests. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Sends to a second endpoint allowed beyond the ratio in each window, over all entries. */
  readonly retrySlack: number;
  /** An event that is forwarded more than this after it was produced counts as late. */
  readonly eventLagMs: number;
}

/** Bound on the bytes of answers that this process holds for callers that read slowly. */
export function heldBytesLimit({memoryMb}: RelaySettings): number {
  return heldProcessLimitBytes(memoryMb);
}

/** Bound on the bytes of one kind that this process holds as a whole. */
export function payloadLimit(
  {memoryMb}: RelaySettings,
  kind: PayloadKind,
): number {
  return payloadLimitBytes(kind, memoryMb);
}

/** Bound on what this process holds of requests that callers sent ahead. */
export function sentAheadLimit({memoryMb}: RelaySettings): number {
  return heldRequestsLimitBytes(memoryMb);
}

/** Bound on the bytes of one answer of the store that this process reads. */
export function storeAnswerLimit({memoryMb}: RelaySettings): number {
  return storeAnswerLimitBytes(memoryMb);
}
