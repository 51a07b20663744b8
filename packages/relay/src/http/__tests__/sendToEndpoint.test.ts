import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {sleep, systemClock} from '@lilacledge/shared';
import {afterEach, describe, expect, it} from 'vitest';
import {holdReading} from '../holdReading.js';
import {readBody} from '../readBody.js';
import {sendToEndpoint} from '../sendToEndpoint.js';
import type {SendOutcome} from '../sendToEndpoint.js';

let server: Server | undefined;

afterEach(() => server?.close());

/** Starts an endpoint that calls `answer` once it receives bytes; resolves with its port. */
async function startEndpoint(
  answer: (socket: Socket) => void,
): Promise<number> {
  server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => server!.listen(0, resolve));
  return (server.address() as AddressInfo).port;
}

function send(
  port: number,
  signal?: AbortSignal,
  body: Buffer = Buffer.alloc(0),
  headers: readonly string[] = ['Host', 'a.example'],
): Promise<SendOutcome> {
  return sendToEndpoint({
    address: {host: '127.0.0.1', port},
    method: 'GET',
    target: '/',
    headers,
    body,
    signal: signal ?? new AbortController().signal,
  });
}

async function isComplete(outcome: SendOutcome): Promise<boolean> {
  if (outcome.kind !== 'answered') return false;
  const read = await readBody(outcome.response, 1_000);
  return read.kind === 'whole' && !(await outcome.isBrokenOff());
}

/** Longer than an endpoint may take to accept a connection. */
const HELD_UP_MS = 400;

/** Keeps the event loop from running. */
function holdUp(forMs: number): void {
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs);
}

const UNFRAMED = 'HTTP/1.1 200 OK\r\n\r\nhalf of it';
const FRAMED = 'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf of it';

/** Most bytes that are read with the head of an answer. */
const MAX_FIRST_BYTES = 8 * 1024;

describe('sendToEndpoint', () => {
  // Guards against a process that is killed for its memory, as it holds the first 64 KiB and more
  // of each of many answers that wait for room.
  it('reads little of an answer that is held back at its head', async () => {
    const bodyBytes = 1_000_000;
    const port = await startEndpoint((socket) => {
      const head = `HTTP/1.1 200 OK\r\nContent-Length: ${bodyBytes}\r\n\r\n`;
      socket.write(Buffer.concat([Buffer.from(head), Buffer.alloc(bodyBytes)]));
    });
    const outcome = await send(port);
    if (outcome.kind !== 'answered') throw new Error(outcome.kind);
    const {socket} = outcome.response;
    const readOn = holdReading(socket);
    await sleep(systemClock, 200);
    expect(socket.bytesRead).toBeLessThanOrEqual(MAX_FIRST_BYTES);
    readOn();
    const read = await readBody(outcome.response, bodyBytes);
    expect(read.kind).toBe('whole');
  });

  // Guards against a process that ends as nothing catches the rejection.
  it.each([
    {target: '/\t', headers: ['Host', 'a.example']},
    {target: '/', headers: ['X-A', 'two\nlines']},
    {target: '/', headers: ['X-A', '日本']},
  ])('sends nothing that no request can hold (%#)', async (odd) => {
    const sent = await sendToEndpoint({
      ...odd,
      address: {host: '127.0.0.1', port: 9},
      method: 'GET',
      body: Buffer.alloc(0),
      signal: new AbortController().signal,
    });
    expect(sent.kind).toBe('unsendable');
  });

  // Guards against endpoints that are taken for unreachable as this process is held up: timers run
  // before the connections that have opened meanwhile are noticed.
  it('uses a connection that opened while the process was held up', async () => {
    const port = await startEndpoint((socket) => socket.end(FRAMED));
    const sent = send(port);
    // The connection is opened in the next tick.
    process.nextTick(() => holdUp(HELD_UP_MS));
    expect((await sent).kind).toBe('answered');
  });

  describe('an answer without a length', () => {
    it('is complete when its connection is closed', async () => {
      const port = await startEndpoint((socket) => socket.end(UNFRAMED));
      expect(await isComplete(await send(port))).toBe(true);
    });

    it('is incomplete when a reset arrives with the last bytes', async () => {
      const port = await startEndpoint((socket) => {
        socket.write(UNFRAMED);
        socket.resetAndDestroy();
      });
      expect(await isComplete(await send(port))).toBe(false);
    });

    // Guards against half of an answer that looks complete as a killed process closes its
    // connections in order.
    it('is incomplete when its endpoint has ended', async () => {
      const port = await startEndpoint((socket) => {
        server!.close();
        socket.end(UNFRAMED);
      });
      expect(await isComplete(await send(port))).toBe(false);
    });

    it('is incomplete when a reset arrives later', async () => {
      const port = await startEndpoint((socket) => {
        socket.write(UNFRAMED);
        setTimeout(() => socket.resetAndDestroy(), 30);
      });
      expect(await isComplete(await send(port))).toBe(false);
    });
  });

  describe('an answer with a length', () => {
    it('is incomplete when its connection is closed early', async () => {
      const port = await startEndpoint((socket) => socket.end(FRAMED));
      expect(await isComplete(await send(port))).toBe(false);
    });
  });

  describe('an answer whose status is none', () => {
    // Guards against a status that can't be passed on, which ended the request with an error
    // of this process and was not counted as a failure of the endpoint.
    it.each([0, 7, 99, 101])('counts as no answer (%i)', async (status) => {
      const code = String(status).padStart(3, '0');
      const port = await startEndpoint((socket) => {
        socket.end(`HTTP/1.1 ${code} Odd\r\nContent-Length: 2\r\n\r\nok`);
      });
      expect((await send(port)).kind).toBe('noAnswer');
    });
  });

  // Guards against an exception of a send that nothing catches, which ended the process.
  it('is "unsendable" with a head that can not be written', async () => {
    const port = await startEndpoint((socket) => socket.end(FRAMED));
    const headers = ['Host', 'a.example', 'conte t-length', '1'];
    const outcome = await send(port, undefined, undefined, headers);
    expect(outcome.kind).toBe('unsendable');
  });

  // Guards against a header that can't be passed on, which ended the request with an error of
  // this process.
  it('counts an answer with a space in the name of a header as none', async () => {
    const port = await startEndpoint((socket) => {
      socket.end(
        'HTTP/1.1 200 OK\r\nserver li: 1\r\nContent-Length: 0\r\n\r\n',
      );
    });
    expect((await send(port)).kind).toBe('noAnswer');
  });

  describe('a send that may no longer be made when its connection opens', () => {
    // Guards against retries that a held-up process sends long after it counted them.
    it('sends nothing', async () => {
      let received = 0;
      const port = await startEndpoint((socket) => {
        received++;
        socket.destroy();
      });
      const outcome = await sendToEndpoint({
        address: {host: '127.0.0.1', port},
        method: 'POST',
        target: '/',
        headers: ['Host', 'a.example', 'Content-Length', '4'],
        body: Buffer.from('body'),
        signal: new AbortController().signal,
        mayStillSend: () => false,
      });
      expect(outcome.kind).toBe('notSent');
      await new Promise((resolve) => setTimeout(resolve, 50));
      expect(received).toBe(0);
    });
  });

  describe('a send that is aborted', () => {
    // Guards against requests that leave this machine after they were given up.
    it('resets its connection before the response head', async () => {
      const ended = new Promise<string>((resolve) => {
        server = createServer((socket) => {
          socket.on('data', () => {});
          socket.on('error', ({code}: NodeJS.ErrnoException) => {
            resolve(code ?? '');
          });
          socket.on('end', () => resolve('closed'));
        });
      });
      await new Promise<void>((resolve) => server!.listen(0, resolve));
      const {port} = server!.address() as AddressInfo;
      const pending = send(port, AbortSignal.timeout(100));
      expect(await pending).toMatchObject({
        kind: 'noAnswer',
        isReset: false,
        mayArrive: true,
      });
      expect(await ended).toBe('ECONNRESET');
    });

    it('is "not sent" if it was aborted before', async () => {
      const port = await startEndpoint(() => {});
      const outcome = await send(port, AbortSignal.abort());
      expect(outcome.kind).toBe('notSent');
    });

    it('ends its answer after the response head', async () => {
      const port = await startEndpoint((socket) => socket.write(FRAMED));
      const aborter = new AbortController();
      const outcome = await send(port, aborter.signal);
      aborter.abort();
      expect(await isComplete(outcome)).toBe(false);
    });
  });

  describe('the outcome of a send without an answer', () => {
    it('may arrive unless the endpoint has said something', async () => {
      const silent = await startEndpoint((socket) => socket.resetAndDestroy());
      expect(await send(silent)).toMatchObject({mayArrive: false});
      server?.close();
      const garbage = await startEndpoint((socket) => socket.end('no HTTP'));
      expect(await send(garbage)).toMatchObject({mayArrive: false});
    });

    it('is "not sent" when nothing listens', async () => {
      const port = await startEndpoint(() => {});
      await new Promise((resolve) => server!.close(resolve));
      expect((await send(port)).kind).toBe('notSent');
    });

    it('is "no answer" when the connection is reset', async () => {
      const port = await startEndpoint((socket) => socket.resetAndDestroy());
      expect((await send(port)).kind).toBe('noAnswer');
    });

    it('is "no answer" for bytes that are not HTTP', async () => {
      const port = await startEndpoint((socket) =>
        socket.end('nonsense\r\n\r\n'),
      );
      expect((await send(port)).kind).toBe('noAnswer');
    });
  });

  // Guards against callers who never get an answer: a change of protocol ended a send without a
  // response and without an error.
  describe('ends in a verdict', () => {
    const WHOLE = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
    const LARGE_BODY = Buffer.alloc(8 * 1024 * 1024);

    interface Bytes {
      readonly name: string;
      readonly answer: (socket: Socket) => void;
      readonly verdict: SendOutcome['kind'];
      readonly body?: Buffer;
    }

    const CASES: readonly Bytes[] = [
      {
        name: 'a change of protocol',
        answer: (socket) =>
          socket.write(
            'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n',
          ),
        verdict: 'noAnswer',
      },
      {
        name: 'hints before the answer',
        answer: (socket) =>
          socket.write(`HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n${WHOLE}`),
        verdict: 'answered',
      },
      {
        name: 'a continue, and then the end',
        answer: (socket) => socket.end('HTTP/1.1 100 Continue\r\n\r\n'),
        verdict: 'noAnswer',
      },
      {
        name: 'two answers',
        answer: (socket) => socket.write(WHOLE + WHOLE),
        verdict: 'answered',
      },
      {
        name: 'trailers',
        answer: (socket) =>
          socket.write(
            'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n',
          ),
        verdict: 'answered',
      },
      {
        name: 'an answer before the request was read',
        answer: (socket) => {
          socket.pause();
          socket.write(WHOLE);
        },
        verdict: 'answered',
        body: LARGE_BODY,
      },
      {
        name: 'half a head',
        answer: (socket) => socket.end('HTTP/1.1 200 OK\r\nContent-Le'),
        verdict: 'noAnswer',
      },
      {
        name: 'a head that is too large',
        answer: (socket) =>
          socket.write(`HTTP/1.1 200 OK\r\nA: ${'b'.repeat(40_000)}\r\n\r\n`),
        verdict: 'noAnswer',
      },
      {
        name: 'the end alone',
        answer: (socket) => socket.end(),
        verdict: 'noAnswer',
      },
    ];

    it.each(CASES.map((one) => [one.name, one] as const))(
      '(%s)',
      async (_name, {answer, verdict, body}) => {
        const port = await startEndpoint(answer);
        const sending = new AbortController();
        const outcome = await Promise.race([
          send(port, sending.signal, body),
          new Promise<undefined>((resolve) => {
            setTimeout(() => resolve(undefined), 2_000);
          }),
        ]);
        sending.abort();
        expect(outcome?.kind).toBe(verdict);
      },
    );
  });
});
