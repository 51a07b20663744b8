import {connect} from 'node:net';
import type {EndpointAddress} from '../model/index.js';
import {RESET_CODES} from './sendToEndpoint.js';

/** An instance that is there accepts or refuses within milliseconds; silence says nothing. */
const CONNECT_TIMEOUT_MS = 100;

/** What stands before an endpoint that has ended closes a connection within this time. */
const HELD_OPEN_MS = 20;

/**
 * Whether nothing stands behind an address any more though the instance is there: the
 * endpoint's process has ended. Its port refuses connections then, or what holds the port,
 * a proxy or a supervisor, closes them at once. An endpoint that goes on keeps an idle one
 * open; one that cannot be reached is not known to have ended.
 */
export function hasEnded({host, port}: EndpointAddress): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({host, port, timeout: CONNECT_TIMEOUT_MS});
    let heldOpen: NodeJS.Timeout | undefined;
    const finish = (isEnd: boolean): void => {
      clearTimeout(heldOpen);
      resolve(isEnd);
      socket.destroy();
    };
    socket.once('connect', () => {
      heldOpen = setTimeout(() => finish(false), HELD_OPEN_MS);
    });
    socket.once('timeout', () => finish(false));
    socket.once('end', () => finish(true));
    // Later errors come of ending the probe.
    socket.on('error', ({code}: NodeJS.ErrnoException) => {
      finish(RESET_CODES.has(code ?? ''));
    });
    socket.resume();
  });
}
