import {MAX_BODY_BYTES, MAX_SHORT_STRING_LENGTH} from '@lilacledge/protocol';
import {Verdict} from '@lilacledge/shared';
import {request} from 'undici';
import type {Dispatcher} from 'undici';
import {EndpointError} from '../ports/endpointError.js';
import type {PlainPort} from '../ports/plainPort.js';
import {createEndpointAgent} from './endpointAgent.js';
import {toEndpointError} from './toEndpointError.js';

/** Client of a plain service over HTTP, without retries. */
export function createHttpPlain(url: string, timeoutMs: number): PlainPort {
  const dispatcher = createEndpointAgent();
  return {
    async call(plainRequest) {
      try {
        const hasBody = plainRequest.body.length > 0;
        const response = await request(url + plainRequest.path, {
          dispatcher,
          method: plainRequest.method as 'GET',
          headers: {
            'x-request-id': plainRequest.requestId,
            traceparent: plainRequest.traceparent,
            ...(hasBody ? {'content-type': plainRequest.contentType} : {}),
          },
          body: hasBody ? plainRequest.body : null,
          headersTimeout: timeoutMs,
          bodyTimeout: timeoutMs,
        });
        const body = await readBody(response);
        const {statusCode: status} = response;
        return {status, contentType: contentTypeOf(response), body};
      } catch (error) {
        throw toEndpointError(error);
      }
    },
  };
}

/** Throws if no message to an entry can hold the type. */
function contentTypeOf({headers}: Dispatcher.ResponseData): string {
  const type = headers['content-type'];
  if (typeof type !== 'string') return '';
  if (type.length <= MAX_SHORT_STRING_LENGTH) return type;
  throw tooLarge(`a content type of ${type.length} characters`);
}

/** Throws if no message to an entry can hold the body, of which the rest isn't read then. */
async function readBody({body}: Dispatcher.ResponseData): Promise<Uint8Array> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    chunks.push(chunk as Buffer);
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_BODY_BYTES) {
      throw tooLarge(`a body of more than ${MAX_BODY_BYTES} bytes`);
    }
  }
  return Buffer.concat(chunks);
}

function tooLarge(what: string): EndpointError {
  return new EndpointError(Verdict.MAY_HAVE_RUN, `the answer has ${what}`);
}
