import {connect} from 'node:net';
import type {EndpointAddress} from '../model/index.js';

/** An instance that is there refuses within milliseconds; silence says nothing. */
const PROBE_TIMEOUT_MS = 100;

/** Code of a connection that nobody listens for. */
const REFUSED_CODE = 'ECONNREFUSED';

/**
 * Whether nothing listens at an address any more, on an instance that is still there: its
 * process has ended. An instance that cannot be reached, or is full, is not that.
 */
export function refusesConnections({
  host,
  port,
}: EndpointAddress): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({host, port, timeout: PROBE_TIMEOUT_MS});
    const finish = (isRefused: boolean): void => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === REFUSED_CODE);
    });
  });
}
