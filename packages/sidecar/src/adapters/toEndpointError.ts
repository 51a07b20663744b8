import {Verdict} from '@lilacledge/shared';
import {EndpointError} from '../ports/endpointError.js';

/** Codes of attempts that never reached the endpoint. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Says of a failed HTTP request whether it may have run. */
export function toEndpointError(error: unknown): EndpointError {
  if (error instanceof EndpointError) return error;
  const code = (error as {code?: string}).code ?? '';
  const verdict = UNSENT_CODES.has(code)
    ? Verdict.NOT_RUN
    : Verdict.MAY_HAVE_RUN;
  return new EndpointError(verdict, code === '' ? String(error) : code);
}
