import {request} from 'undici';
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
        const type = response.headers['content-type'];
        return {
          status: response.statusCode,
          contentType: typeof type === 'string' ? type : '',
          body: new Uint8Array(await response.body.arrayBuffer()),
        };
      } catch (error) {
        throw toEndpointError(error);
      }
    },
  };
}
