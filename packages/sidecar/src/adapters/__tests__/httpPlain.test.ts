import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {createHttpPlain} from '../httpPlain.js';

const BODY = 'a booking';
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n';
const ANSWERS = [
  ['with a length', `${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY}`],
  [
    'in chunks',
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`,
  ],
] as const;

let server: Server;
let url: string;
let answer: (socket: Socket, cutAt: number) => void;

/** Serves paths `/N` with the first N bytes of an answer. */
beforeAll(async () => {
  server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (bytes: Buffer) => {
      answer(socket, Number(/^GET \/(\d+) /.exec(bytes.toString())?.[1]));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterAll(() => server.close());

describe.each(ANSWERS)('an answer %s that stops at any byte', (_name, text) => {
  // Guards against half of an answer that is passed on as whole.
  it('is not taken for whole', async () => {
    answer = (socket, cutAt) => socket.end(text.slice(0, cutAt));
    const plain = createHttpPlain(url, 2_000);
    const whole: number[] = [];
    for (let cutAt = 0; cutAt <= text.length; cutAt++) {
      const request = {
        method: 'GET',
        path: `/${cutAt}`,
        contentType: '',
        body: new Uint8Array(),
        requestId: `r-${cutAt}`,
        traceparent: '',
      };
      await plain.call(request as Parameters<typeof plain.call>[0]).then(
        () => whole.push(cutAt),
        () => {},
      );
    }
    expect(whole).toEqual([text.length]);
  });
});
