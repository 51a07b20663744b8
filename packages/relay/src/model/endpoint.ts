/** Whether an endpoint takes new work, as it says itself. */
export const EndpointState = {
  READY: 'ready',
  DRAINING: 'draining',
} as const;
export type EndpointState = (typeof EndpointState)[keyof typeof EndpointState];

/** Where an endpoint is reached. */
export interface EndpointAddress {
  readonly host: string;
  readonly port: number;
}

/** One incarnation of an endpoint, as it registered itself. */
export interface EndpointRecord {
  readonly id: string;
  /**
   * Unix time of this start of the endpoint, which may have had the id in a former
   * life; undefined where endpoints do not tell it.
   */
  readonly startedAtMs?: number;
  readonly service: string;
  readonly address: EndpointAddress;
  readonly zone: string;
  readonly slots: number;
  readonly state: EndpointState;
  /** How much longer the endpoint is slow after its start. */
  readonly warmupLeftMs: number;
}

/** The address as `host:port`. */
export function formatAddress(address: EndpointAddress): string {
  return `${address.host}:${address.port}`;
}

const ADDRESS = /^([^\s:]+):(\d{1,5})$/;

/** Parses `host:port`; undefined when it is not of that form. */
export function parseAddress(text: string): EndpointAddress | undefined {
  const [, host, digits] = ADDRESS.exec(text) ?? [];
  const port = Number(digits);
  if (host === undefined || port < 1 || port > 65_535) return undefined;
  return {host, port};
}
