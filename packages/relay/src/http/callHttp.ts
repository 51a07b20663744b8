import {request} from 'node:http';
import type {Agent} from 'node:http';
import {systemClock} from '@lilacledge/shared';
import type {EndpointAddress} from '../model/index.js';

/**
 * Longest pause between two parts of an answer's body: a few round trips and a
 * segment that is sent again. A body that keeps coming is waited for, as one that is
 * given up midway is asked for again and fills the link a second time.
 */
const STALL_MS = 700;

/** Longest time for a body in all: 4 MB on the smallest link known, 7 Mbit/s. */
const LONGEST_BODY_MS = 5_000;

/** One short HTTP call with a text body. */
export interface HttpCall {
  readonly address: EndpointAddress;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  /** Longest wait for the head of the answer. */
  readonly timeoutMs: number;
  readonly agent?: Agent;
  readonly signal?: AbortSignal;
  /** Called when the head of an answer has come. */
  readonly begun?: () => void;
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
    let timer = giveUpAfter(
      call.timeoutMs,
      `no answer in ${call.timeoutMs} ms`,
    );

    function giveUpAfter(delayMs: number, detail: string): NodeJS.Timeout {
      return setTimeout(() => outgoing.destroy(new Error(detail)), delayMs);
    }

    function noteProgress(headAtMs: number): void {
      clearTimeout(timer);
      const leftMs = headAtMs + LONGEST_BODY_MS - systemClock.nowMs();
      timer = giveUpAfter(Math.min(STALL_MS, leftMs), 'the answer stalled');
    }

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
      call.begun?.();
      noteProgress(headAtMs);
      response.on('data', (chunk: Buffer) => {
        chunks.push(chunk);
        noteProgress(headAtMs);
      });
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
