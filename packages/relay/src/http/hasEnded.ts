import {request} from 'node:http';
import type {EndpointAddress} from '../model/index.js';
import type {EngineCall} from '../ports.js';
import {RESET_CODES} from './sendToEndpoint.js';

/** An endpoint that is there answers within milliseconds; silence says nothing. */
const PROBE_TIMEOUT_MS = 150;

/**
 * Whether nothing answers at an address any more though the instance is there, or what
 * stands before it: the endpoint's process has ended. Any answer shows that it goes on; one
 * that cannot be reached is not known to have ended.
 */
export function hasEnded(
  {host, port}: EndpointAddress,
  {method, path}: EngineCall,
): Promise<boolean> {
  return new Promise((resolve) => {
    const probe = request({
      host,
      port,
      method,
      path,
      agent: false,
      timeout: PROBE_TIMEOUT_MS,
    });
    const finish = (isEnd: boolean): void => {
      resolve(isEnd);
      probe.destroy();
    };
    probe.once('response', () => finish(false));
    probe.once('timeout', () => finish(false));
    // Later errors come of ending the probe.
    probe.on('error', ({code}: NodeJS.ErrnoException) => {
      finish(RESET_CODES.has(code ?? ''));
    });
    probe.end();
  });
}
