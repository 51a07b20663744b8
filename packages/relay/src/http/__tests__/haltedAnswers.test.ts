import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {callHttp} from '../callHttp.js';
import {readBody} from '../readBody.js';
import {sendToEndpoint} from '../sendToEndpoint.js';

const HOST = '127.0.0.1';
const BODY = '{"at":[1,2]}';

/** Sends that are made at the same time. */
const PARALLEL_SENDS = 20;

const HEAD = 'HTTP/1.1 200 OK\r\nServer: a\r\nContent-Type: text/plain\r\n';
const ANSWERS = [
  ['with a length', `${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`],
  [
    'in chunks',
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`,
  ],
  [
    'after an interim response',
    `HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`,
  ],
] as const;

/** Ways in which an endpoint ends the connection. */
const ENDINGS = [
  ['closes', (socket: Socket) => socket.end()],
  ['resets', (socket: Socket) => socket.resetAndDestroy()],
] as const;

let server: Server;
let port: number;
let answer: (socket: Socket, cutAt: number) => void;

/** Serves targets `/N` with the first N bytes of an answer. */
beforeAll(async () => {
  server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', (bytes: Buffer) => {
      answer(socket, Number(/^GET \/(\d+) /.exec(bytes.toString())?.[1]));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  port = (server.address() as AddressInfo).port;
});

afterAll(() => server.close());

async function isSentWhole(cutAt: number): Promise<boolean> {
  const sent = await sendToEndpoint({
    address: {host: HOST, port},
    method: 'GET',
    target: `/${cutAt}`,
    headers: ['Host', 'a.example'],
    body: Buffer.alloc(0),
    signal: new AbortController().signal,
  });
  if (sent.kind !== 'answered') return false;
  const read = await readBody(sent.response, 1_000);
  return read.kind === 'whole' && !(await sent.isBrokenOff());
}

async function isCalledWhole(cutAt: number): Promise<boolean> {
  const reply = await callHttp({
    address: {host: HOST, port},
    method: 'GET',
    path: `/${cutAt}`,
    timeoutMs: 2_000,
  });
  return reply.kind === 'answered';
}

/** The places in an answer at which it was cut and taken for whole. */
async function wholePlaces(
  text: string,
  end: (socket: Socket) => void,
  isWhole: (cutAt: number) => Promise<boolean>,
): Promise<number[]> {
  answer = (socket, cutAt) => {
    const isCut = cutAt < text.length;
    socket.write(text.slice(0, cutAt), () =>
      (isCut ? end : endInOrder)(socket),
    );
  };
  const whole: number[] = [];
  let next = 0;
  async function work(): Promise<void> {
    while (next <= text.length) {
      const cutAt = next++;
      if (await isWhole(cutAt)) whole.push(cutAt);
    }
  }
  await Promise.all(Array.from({length: PARALLEL_SENDS}, work));
  return whole;
}

function endInOrder(socket: Socket): void {
  socket.end();
}

// Guards against an answer that stops in its head or body and is taken for whole.
describe.each(ANSWERS)('an answer %s that stops at any byte', (_name, text) => {
  describe.each(ENDINGS)('as its endpoint %s the connection', (_way, end) => {
    it('is not whole as the answer to a request', async () => {
      expect(await wholePlaces(text, end, isSentWhole)).toEqual([text.length]);
    });

    it('is not whole as the response to a call', async () => {
      expect(await wholePlaces(text, end, isCalledWhole)).toEqual([
        text.length,
      ]);
    });
  });
});
