import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {API_KEY, HOST} from '@lilacledge/platform-standins';
import {createRandom, sleep, systemClock} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import type {SoakFleet} from './soakFleet.js';

const CALLERS_PER_ENTRY = 150;
const MIN_BODY_BYTES = 300_000;
const MAX_DECLARED_BYTES = 1_000_000;

/** Share of a body that is sent before its caller waits. */
const SENT_SHARE = 0.9;

/** How long a caller waits with an unfinished body. */
const MAX_WAIT_MS = 4_000;

/** Pause between two uploads of a caller. */
const PAUSE_MS = 300;

const FILLER = Buffer.alloc(MAX_DECLARED_BYTES, 'x');

/** Gives these callers a seed of their own, so that a seed's other draws stay the same. */
const SEED_OFFSET = 9_000_049;

/**
 * Callers that send most of a large body, wait and leave. Their requests never become complete, so
 * that none may reach an endpoint.
 */
export class UploadingCallers {
  private readonly random: Random;
  private readonly open = new Set<Socket>();
  private isStopped = false;
  private nextId = 0;

  constructor(
    private readonly fleet: SoakFleet,
    seed: number,
  ) {
    this.random = createRandom(seed + SEED_OFFSET);
  }

  start(): void {
    for (const {url} of this.fleet.entries) {
      const port = Number(new URL(url).port);
      for (let index = 0; index < CALLERS_PER_ENTRY; index++) {
        void this.run(port);
      }
    }
  }

  stop(): void {
    this.isStopped = true;
    for (const socket of this.open) socket.destroy();
  }

  private async run(port: number): Promise<void> {
    while (!this.isStopped) {
      const socket = this.upload(port);
      await sleep(systemClock, this.random() * MAX_WAIT_MS);
      socket.destroy();
      await sleep(systemClock, this.random() * PAUSE_MS);
    }
  }

  private upload(port: number): Socket {
    const range = MAX_DECLARED_BYTES - MIN_BODY_BYTES;
    const declaredBytes = MIN_BODY_BYTES + Math.floor(this.random() * range);
    const isChunked = this.random() < 0.5;
    const sent = FILLER.subarray(0, Math.floor(declaredBytes * SENT_SHARE));
    const socket = connect(port, '127.0.0.1');
    this.open.add(socket);
    socket.on('close', () => this.open.delete(socket));
    // Entries are killed, and may close connections that they don't read.
    socket.on('error', () => {});
    socket.resume();
    socket.write(
      [
        'POST /look/ HTTP/1.1',
        `host: ${HOST}`,
        `x-attempt-id: upload-${this.nextId++}`,
        `authorization: Bearer ${API_KEY}`,
        isChunked
          ? 'transfer-encoding: chunked'
          : `content-length: ${declaredBytes}`,
        '',
        '',
      ].join('\r\n'),
    );
    if (isChunked) socket.write(`${sent.length.toString(16)}\r\n`);
    socket.write(sent);
    return socket;
  }
}
