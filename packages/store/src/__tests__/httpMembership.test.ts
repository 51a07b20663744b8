import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {createHttpMembership} from '../httpMembership.js';

const MEMBER = {
  instanceId: 'a',
  role: 'entry' as const,
  service: '',
  host: '127.0.0.1',
  port: 1,
  zone: 'z',
  leaving: false,
};

describe('createHttpMembership', () => {
  let etag = '"1"';
  let members: unknown[] = [MEMBER];
  const statuses: number[] = [];
  const server = createServer((request, response) => {
    const isKnown = request.headers['if-none-match'] === etag;
    statuses.push(isKnown ? 304 : 200);
    response.writeHead(isKnown ? 304 : 200, {etag});
    response.end(isKnown ? undefined : JSON.stringify({members}));
  });

  beforeEach(async () => {
    statuses.length = 0;
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  function createMembership() {
    const {port} = server.address() as AddressInfo;
    const url = `http://127.0.0.1:${port}/members`;
    return createHttpMembership({url, requestTimeoutMs: 1_000});
  }

  it('does not fetch an unchanged list again', async () => {
    const membership = createMembership();
    expect(await membership.read()).toEqual([MEMBER]);
    expect(await membership.read()).toEqual([MEMBER]);
    etag = '"2"';
    members = [];
    expect(await membership.read()).toEqual([]);
    expect(statuses).toEqual([200, 304, 200]);
  });

  it('rejects a list with a malformed row', async () => {
    etag = '"3"';
    members = [{...MEMBER, port: 'x'}];
    await expect(createMembership().read()).rejects.toThrow();
  });
});
