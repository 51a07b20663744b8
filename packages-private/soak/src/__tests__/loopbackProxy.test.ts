import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {findFreePort} from '@lilacledge/localstack';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {LoopbackProxy} from '../loopbackProxy.js';
import type {LinkFault} from '../loopbackProxy.js';

let server: Server;
let proxy: LoopbackProxy;
let requestCount: number;

beforeEach(async () => {
  requestCount = 0;
  const port = await findFreePort();
  server = createServer((_request, response) => {
    requestCount++;
    response.end('well');
  });
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  proxy = new LoopbackProxy(await findFreePort(), () => port);
});

afterEach(() => {
  proxy.close();
  server.close();
  server.closeAllConnections();
});

/** Resolves with the body of the answer, or the kind of failure after up to 300 ms. */
async function get(): Promise<string> {
  const url = `http://127.0.0.1:${proxy.port}/`;
  const signal = AbortSignal.timeout(300);
  const headers = {connection: 'close'};
  return fetch(url, {signal, headers})
    .then((response) => response.text())
    .catch((error: Error) =>
      error.name === 'TimeoutError' ? 'silence' : 'reset',
    );
}

describe('LoopbackProxy', () => {
  it('forwards requests and answers without a fault', async () => {
    expect(await get()).toBe('well');
  });

  const faults: ReadonlyArray<[LinkFault, string, number]> = [
    [{kind: 'delayed', delayMs: 50}, 'well', 1],
    [{kind: 'reset'}, 'reset', 0],
    [{kind: 'silent'}, 'silence', 0],
    [{kind: 'held'}, 'silence', 0],
    [{kind: 'answersLost'}, 'silence', 1],
  ];
  it.each(faults)(
    'turns the fault %o into %s',
    async (fault, expected, expectedRequests) => {
      proxy.setFault(fault);
      expect(await get()).toBe(expected);
      expect(requestCount).toBe(expectedRequests);
    },
  );

  it('forwards what was held once the fault ends, though its caller has left', async () => {
    proxy.setFault({kind: 'held'});
    expect(await get()).toBe('silence');
    proxy.setFault({kind: 'none'});
    await expect.poll(() => requestCount).toBe(1);
  });

  it('forwards again after a fault', async () => {
    proxy.setFault({kind: 'silent'});
    await get();
    proxy.setFault({kind: 'none'});
    expect(await get()).toBe('well');
  });
});
