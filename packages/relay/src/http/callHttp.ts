import {request} from 'node:http';
import type {Agent, IncomingHttpHeaders} from 'node:http';
import {StringDecoder} from 'node:string_decoder';
import {systemClock} from '@lilacledge/shared';
import type {EndpointAddress} from '../model/index.js';

/**
 * Maximum pause between two chunks of a response body: a few round trips and one TCP
 * retransmission. A body that makes progress is not aborted, because the caller would
 * request it again and load the link a second time.
 */
const BODY_STALL_TIMEOUT_MS = 700;

/** Time limit for a whole body: 4 MB over the slowest known link, 7 Mbit/s. */
const BODY_TIMEOUT_MS = 5_000;

/** Default limit of a response body: the reports of endpoints are far smaller. */
const MAX_BODY_BYTES = 1024 * 1024;

/** A short HTTP request with a text body. */
export interface HttpCall {
  readonly address: EndpointAddress;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  /** Time limit for the response head. */
  readonly timeoutMs: number;
  /** Size of a longer response body that is accepted. */
  readonly maxBodyBytes?: number;
  /** Keeps connections; without it the call has a connection of its own. */
  readonly agent?: Agent;
  readonly signal?: AbortSignal;
  /**
   * Called when the head of a successful response arrives, and for each chunk of its body with
   * the size of the chunk.
   */
  readonly progressed?: (bytes: number) => void;
}

/** Size and duration of the transfer of a response body. */
export interface BodyTransfer {
  readonly bytes: number;
  /** From the response head to the last byte of the body. */
  readonly tookMs: number;
}

/** A complete response, or none; without one the call may still have taken effect. */
export type HttpReply =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: string;
      readonly transfer: BodyTransfer;
    }
  | {
      readonly kind: 'unanswered';
      readonly detail: string;
      /** True if the body was longer than is accepted. */
      readonly isTooLarge?: boolean;
    };

/** Makes one HTTP call. Never rejects. */
export function callHttp(call: HttpCall): Promise<HttpReply> {
  return new Promise((resolve) => {
    const {address, method, path, body, maxBodyBytes = MAX_BODY_BYTES} = call;
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
      agent: call.agent ?? false,
      signal: call.signal,
    });
    let timer: NodeJS.Timeout | undefined;
    destroyAfter(call.timeoutMs, `no answer in ${call.timeoutMs} ms`);

    function destroyAfter(delayMs: number, detail: string): void {
      clearTimeout(timer);
      const started = setTimeout(() => {
        // An event loop that was held up runs its timers before it reads what has arrived.
        setImmediate(() => {
          if (timer !== started) return;
          outgoing.destroy(new Error(detail));
          if (call.agent !== undefined) closeIdleConnections(call.agent);
        });
      }, delayMs);
      timer = started;
    }

    function restartTimer(headAtMs: number): void {
      const leftMs = headAtMs + BODY_TIMEOUT_MS - systemClock.nowMs();
      // The running one ends with the time limit for the whole body.
      if (leftMs <= 0) return;
      destroyAfter(
        Math.min(BODY_STALL_TIMEOUT_MS, leftMs),
        'the answer stalled',
      );
    }

    function finish(reply: HttpReply): void {
      clearTimeout(timer);
      timer = undefined;
      resolve(reply);
    }

    let hasHead = false;
    // Node.js reports neither a response nor an error after a change of protocol.
    outgoing.on('close', () => {
      if (hasHead) return;
      finish({kind: 'unanswered', detail: 'the connection was closed'});
    });
    outgoing.on('error', (error) => {
      finish({kind: 'unanswered', detail: error.message});
    });
    outgoing.on('response', (response) => {
      hasHead = true;
      const headAtMs = systemClock.nowMs();
      // Decoded as it arrives, so that the chunks are not held beside the text.
      const decoder = new StringDecoder('utf8');
      let text = '';
      let bodyBytes = 0;
      const progressed = isSuccess(response.statusCode)
        ? call.progressed
        : undefined;
      progressed?.(0);
      restartTimer(headAtMs);
      response.on('data', (chunk: Buffer) => {
        bodyBytes += chunk.length;
        if (bodyBytes > maxBodyBytes) {
          outgoing.destroy();
          finish({
            kind: 'unanswered',
            detail: 'the answer is too large',
            isTooLarge: true,
          });
          return;
        }
        text += decoder.write(chunk);
        progressed?.(chunk.length);
        restartTimer(headAtMs);
      });
      response.on('error', (error) => {
        finish({kind: 'unanswered', detail: error.message});
      });
      response.on('end', () => {
        finish({
          kind: 'answered',
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: text + decoder.end(),
          transfer: {
            bytes: bodyBytes,
            tookMs: systemClock.nowMs() - headAtMs,
          },
        });
      });
    });
    outgoing.end(body);
  });
}

/**
 * Closes the idle connections of an agent, after a time limit that may have passed because its
 * connection fell silent: the others may have done so too, and each would cost a time limit.
 */
function closeIdleConnections({freeSockets}: Agent): void {
  for (const sockets of Object.values(freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}

function isSuccess(status = 0): boolean {
  return status >= 200 && status < 300;
}
