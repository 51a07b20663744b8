import {createHash} from 'node:crypto';
import type {AllowedRequest} from './callerExchange.js';

/** Hex digits that are kept: requests are told apart, not protected by it. */
const FINGERPRINT_DIGITS = 16;

/**
 * Names a request across its attempts, which have ids of their own: what was asked,
 * by whom, and with what body. Holds nothing from which these could be read.
 */
export function requestFingerprint(
  {request, organisation}: Pick<AllowedRequest, 'request' | 'organisation'>,
  body: Buffer,
): string {
  const {method, host, target} = request;
  const head = JSON.stringify([method, host, target, organisation?.name ?? '']);
  return createHash('sha256')
    .update(head)
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_DIGITS);
}
