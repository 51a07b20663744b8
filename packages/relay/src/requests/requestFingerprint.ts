import {createHash} from 'node:crypto';
import {PART_PREFIX} from '@lilacledge/policy';
import {payloadChunks} from '../http/payload.js';
import type {Payload} from '../http/payload.js';
import type {AllowedRequest} from './callerExchange.js';

/** Length in hex digits; digests only distinguish requests and secure nothing. */
const DIGEST_DIGITS = 16;

/**
 * Identifies a request across the caller's attempts, which have different request ids. Hashes
 * the request line, the host, the organisation and the body, so that none of them can be read
 * from the result.
 */
export function requestFingerprint(
  {request, organisation}: Pick<AllowedRequest, 'request' | 'organisation'>,
  body: Payload,
): string {
  const {method, host, target} = request;
  const head = JSON.stringify([method, host, target, organisation?.name ?? '']);
  return digestOf(head, body);
}

/**
 * Identifies the parts of a prompt that other requests to the service may share, in order. The
 * last part belongs to the request itself or to its session.
 */
export function sharedPartDigests({
  request,
  service,
}: Pick<AllowedRequest, 'request' | 'service'>): string[] {
  const parts = request.size?.prefixParts ?? [];
  return parts
    .slice(0, -1)
    .map(({id}) => `${PART_PREFIX}${digestOf(JSON.stringify([service, id]))}`);
}

function digestOf(head: string, body: Payload = []): string {
  const hash = createHash('sha256').update(head);
  for (const chunk of payloadChunks(body)) hash.update(chunk);
  return hash.digest('hex').slice(0, DIGEST_DIGITS);
}
