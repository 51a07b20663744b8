import type {Server} from 'node:http';
import {listen} from '../http/listen.js';
import type {Listening, ListenOptions} from '../http/listen.js';
import type {RelaySettings} from '../settings.js';

/** Listens for callers and for checks of readiness; returns the servers that readiness needs. */
export function listenForCallers(
  settings: RelaySettings,
  callers: Server,
  readiness: Server,
  listenOptions: Omit<ListenOptions, 'purpose'>,
): Listening[] {
  const needed: Listening[] = [];
  if (settings.callers !== undefined) {
    const options = {...listenOptions, purpose: 'callers'};
    needed.push(listen(callers, settings.callers, options));
  }
  if (settings.readiness !== undefined) {
    const options = {...listenOptions, purpose: 'readiness'};
    listen(readiness, settings.readiness, options);
  }
  return needed;
}

/** Closes servers at once, with their open connections. */
export function closeServers(servers: readonly Server[]): void {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
}
