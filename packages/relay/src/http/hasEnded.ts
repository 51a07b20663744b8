import {connect} from 'node:net';
import type {EndpointAddress} from '../model/index.js';
import {RESET_CODES} from './resetCodes.js';

/** A reachable instance accepts or refuses within milliseconds; a timeout proves nothing. */
const CONNECT_TIMEOUT_MS = 100;

/**
 * Probes whether the endpoint's process has ended while its instance is still reachable. The
 * port then refuses connections, or a proxy or supervisor that holds the port closes them at
 * once. A running endpoint keeps an idle connection open. An unreachable endpoint is not
 * reported as ended.
 *
 * @param heldOpenMs how long a proxy or supervisor in front of an ended endpoint may take to
 *     close a connection; a running endpoint is known as such only after this time.
 */
export function hasProcessEnded(
  {host, port}: EndpointAddress,
  heldOpenMs: number,
): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({host, port, timeout: CONNECT_TIMEOUT_MS});
    let heldOpen: NodeJS.Timeout | undefined;
    let isConnected = false;
    const finish = (result: boolean): void => {
      clearTimeout(heldOpen);
      resolve(result);
      socket.destroy();
    };
    socket.once('connect', () => {
      isConnected = true;
      heldOpen = setTimeout(() => {
        afterArrivals(() => finish(false));
      }, heldOpenMs);
    });
    socket.once('timeout', () => {
      const wasConnected = isConnected;
      afterArrivals(() => {
        if (isConnected === wasConnected) finish(false);
      });
    });
    socket.once('end', () => finish(true));
    // Errors after the first result are caused by closing the probe.
    socket.on('error', ({code}: NodeJS.ErrnoException) => {
      finish(RESET_CODES.has(code ?? ''));
    });
    socket.resume();
  });
}

/**
 * Calls back once what has arrived is read. A process that was held up notices that a time is
 * over before it reads what came in that time.
 */
function afterArrivals(callback: () => void): void {
  setImmediate(callback);
}
