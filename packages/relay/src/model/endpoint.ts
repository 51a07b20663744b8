/** Whether an endpoint accepts new work, according to its registration. */
export const EndpointState = {
  READY: 'ready',
  DRAINING: 'draining',
} as const;
export type EndpointState = (typeof EndpointState)[keyof typeof EndpointState];

/** Network address of an endpoint. */
export interface EndpointAddress {
  readonly host: string;
  readonly port: number;
}

/** Registration of one incarnation of an endpoint. */
export interface EndpointRecord {
  readonly id: string;
  /**
   * Unix time at which this incarnation started, which distinguishes it from earlier ones
   * with the same id; undefined if endpoints do not register it.
   */
  readonly startedAtMs?: number;
  readonly service: string;
  readonly address: EndpointAddress;
  readonly zone: string;
  readonly slots: number;
  readonly state: EndpointState;
  /** Remaining time for which the endpoint is slow after its start. */
  readonly warmupLeftMs: number;
}

/** Formats the address as `host:port`. */
export function formatAddress(address: EndpointAddress): string {
  return `${address.host}:${address.port}`;
}

const ADDRESS = /^([\w.-]+):(\d{1,5})$/;

/**
 * Parses `host:port`, where the host is an IPv4 address or a name. Returns undefined if `text`
 * has another form or can't be dialled: it may come from another program.
 */
export function parseAddress(text: string): EndpointAddress | undefined {
  const [, host, digits] = ADDRESS.exec(text) ?? [];
  const port = Number(digits);
  if (host === undefined || port < 1 || port > 65_535) return undefined;
  // Rules out numeric hosts that are no IPv4 address, which a URL can't hold.
  return URL.canParse(`http://${host}:${port}/`) ? {host, port} : undefined;
}
