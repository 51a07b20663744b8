#!/usr/bin/env node
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {systemClock} from '@lilacledge/shared';
import {DEFAULT_ENGINE} from '../engineConstants.js';
import {createEngineServer} from '../engineServer.js';
import {createPlainServer} from '../plainServer.js';
import {createPlatformServer} from '../platformServer.js';

/**
 * Creates the server of `standin platform|engine|plain PORT [CONSTANTS-JSON]`.
 */
function createStandin(kind: string | undefined, constants: string): Server {
  switch (kind) {
    case 'platform':
      return createPlatformServer(systemClock);
    case 'engine':
      return createEngineServer(systemClock, {
        ...DEFAULT_ENGINE,
        ...(JSON.parse(constants) as object),
      });
    case 'plain':
      return createPlainServer(systemClock);
    default:
      throw new Error('usage: standin platform|engine|plain PORT [JSON]');
  }
}

const [kind, port, constants] = process.argv.slice(2);
const server = createStandin(kind, constants ?? '{}');
server.listen(Number(port), '127.0.0.1', () => {
  const {port: bound} = server.address() as AddressInfo;
  process.stdout.write(`listening ${bound}\n`);
});
process.on('SIGTERM', () => process.exit(0));
