import {Verdict} from '@lilacledge/shared';
import {EndpointError} from '../ports/endpointError.js';

/** Error codes of requests that were never sent to the endpoint. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Converts the error of an HTTP request, with the verdict whether it ran. */
export function toEndpointError(error: unknown): EndpointError {
  if (error instanceof EndpointError) return error;
  const code = (error as {code?: string}).code ?? '';
  const verdict = NOT_SENT_CODES.has(code)
    ? Verdict.NOT_RUN
    : Verdict.MAY_HAVE_RUN;
  return new EndpointError(verdict, code === '' ? String(error) : code);
}
