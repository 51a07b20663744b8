import {createHash} from 'node:crypto';
import type {AllowedRequest} from './callerExchange.js';

/** Length in hex digits; the fingerprint only distinguishes requests and secures nothing. */
const FINGERPRINT_DIGITS = 16;

/**
 * Identifies a request across the caller's attempts, which have different request ids. Hashes
 * the request line, the host, the organisation and the body, so that none of them can be read
 * from the result.
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
