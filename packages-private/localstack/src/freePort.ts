import {createServer} from 'node:net';
import type {Server} from 'node:net';

/**
 * Below the ephemeral port range: an outgoing connection could take a port of
 * that range before the process that it was meant for listens on it.
 */
const FIRST_PORT = 10_000;
const PORTS_PER_BLOCK = 100;
const BLOCK_COUNT = 118;

/** Ports from here on are not given to stacks. */
export const END_OF_STACK_PORTS = FIRST_PORT + BLOCK_COUNT * PORTS_PER_BLOCK;

/**
 * Ports for the stacks of one process. Listens on the first of them as long as the process runs, so
 * that no other process hands out the same ports before something listens on them.
 */
export class PortBlock {
  /** The first port is in use. */
  private nextOffset = 1;

  private constructor(
    private readonly first: number,
    private readonly lock: Server,
  ) {}

  /** Reserves the block with this number, or the next one that no other process has. */
  static async open(wanted: number): Promise<PortBlock> {
    for (let index = 0; index < BLOCK_COUNT; index++) {
      const block = (wanted + index) % BLOCK_COUNT;
      const first = FIRST_PORT + block * PORTS_PER_BLOCK;
      const lock = await tryListen(first);
      if (lock !== undefined) return new PortBlock(first, lock.unref());
    }
    throw new Error('all port blocks are in use');
  }

  /** Finds consecutive ports that nothing listens on; returns the first of them. */
  async find(count: number): Promise<number> {
    for (let attempt = 0; attempt < PORTS_PER_BLOCK; attempt++) {
      const ports = this.next(count);
      const areFree = await Promise.all(ports.map(isFree));
      if (areFree.every(Boolean)) return ports[0]!;
    }
    throw new Error(`no free ports in the block that starts at ${this.first}`);
  }

  close(): void {
    this.lock.close();
  }

  private next(count: number): number[] {
    if (this.nextOffset + count > PORTS_PER_BLOCK) this.nextOffset = 1;
    const first = this.first + this.nextOffset;
    this.nextOffset += count;
    return Array.from({length: count}, (_unused, index) => first + index);
  }
}

let block: Promise<PortBlock> | undefined;

/** Finds a port of the loopback interface that nothing listens on. */
export function findFreePort(): Promise<number> {
  return findFreePorts(1);
}

/** Finds consecutive ports of the loopback interface; returns the first of them. */
export async function findFreePorts(count: number): Promise<number> {
  block ??= PortBlock.open(process.pid);
  return (await block).find(count);
}

/** Whether nothing listens on this port of the loopback interface. */
export async function isFree(port: number): Promise<boolean> {
  const server = await tryListen(port);
  if (server === undefined) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
}

/** Listens on a port of the loopback interface; resolves with undefined when it is in use. */
export function tryListen(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}
