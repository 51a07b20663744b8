import {createServer} from 'node:net';

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
 * Each process that starts stacks uses its own block, chosen by its process id.
 */
const blockStart = FIRST_PORT + (process.pid % BLOCK_COUNT) * PORTS_PER_BLOCK;
let nextOffset = 0;

/** Finds a port of the loopback interface that nothing listens on. */
export async function findFreePort(): Promise<number> {
  for (let attempt = 0; attempt < PORTS_PER_BLOCK; attempt++) {
    const port = blockStart + (nextOffset++ % PORTS_PER_BLOCK);
    if (await isFree(port)) return port;
  }
  throw new Error(`no free port in the block that starts at ${blockStart}`);
}

/** Whether nothing listens on this port of the loopback interface. */
export function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}
