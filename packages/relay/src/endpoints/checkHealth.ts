import {callHttp} from '../http/callHttp.js';
import type {EndpointAddress} from '../model/index.js';

/** A health check that takes longer counts as unanswered. */
const HEALTH_CHECK_TIMEOUT_MS = 1_000;

/** Whether the endpoint answers a health check at all, whatever it says. */
export async function checkHealth(
  address: EndpointAddress,
  path: string,
): Promise<boolean> {
  const timeoutMs = HEALTH_CHECK_TIMEOUT_MS;
  const reply = await callHttp({address, path, method: 'GET', timeoutMs});
  return reply.kind === 'answered';
}
