/** Error codes that show that the remote host, not the network, ended the connection. */
export const RESET_CODES: ReadonlySet<string> = new Set([
  'ECONNRESET',
  'ECONNREFUSED',
  'EPIPE',
]);
