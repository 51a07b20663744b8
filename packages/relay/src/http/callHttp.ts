import {request} from 'node:http';
import type {Agent} from 'node:http';
import {systemClock} from '@lilacledge/shared';
import type {EndpointAddress} from '../model/index.js';

/** One short HTTP call with a text body. */
export interface HttpCall {
  readonly address: EndpointAddress;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  /** Longest wait for the whole answer. */
  readonly timeoutMs: number;
  readonly agent?: Agent;
  readonly signal?: AbortSignal;
}

/** How the body of an answer came over the network. */
export interface BodyTransfer {
  readonly bytes: number;
  /** From the head of the answer to the last byte of its body. */
  readonly tookMs: number;
}

/** An answer in full, or none: then the call may have taken effect. */
export type HttpReply =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly body: string;
      readonly transfer: BodyTransfer;
    }
  | {readonly kind: 'unanswered'; readonly detail: string};

/** Makes one call; never rejects. */
export function callHttp(call: HttpCall): Promise<HttpReply> {
  return new Promise((resolve) => {
    const {address, method, path, body} = call;
    const headers: Record<string, string | number> = {};
    if (body !== undefined) {
      headers['content-type'] = 'application/json';
      headers['content-length'] = Buffer.byteLength(body);
    }
    const outgoing = request({
      host: address.host,
      port: address.port,
      method,
      path,
      headers,
      agent: call.agent,
      signal: call.signal,
    });
    const timer = setTimeout(() => {
      outgoing.destroy(new Error(`no answer in ${call.timeoutMs} ms`));
    }, call.timeoutMs);

    function finish(reply: HttpReply): void {
      clearTimeout(timer);
      resolve(reply);
    }

    outgoing.on('error', (error) => {
      finish({kind: 'unanswered', detail: error.message});
    });
    outgoing.on('response', (response) => {
      const headAtMs = systemClock.nowMs();
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', (error) => {
        finish({kind: 'unanswered', detail: error.message});
      });
      response.on('end', () => {
        const bytes = Buffer.concat(chunks);
        finish({
          kind: 'answered',
          status: response.statusCode ?? 0,
          body: bytes.toString('utf8'),
          transfer: {
            bytes: bytes.length,
            tookMs: systemClock.nowMs() - headAtMs,
          },
        });
      });
    });
    outgoing.end(body);
  });
}
