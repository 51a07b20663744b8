import {readFileSync} from 'node:fs';
import {createClient} from '@connectrpc/connect';
import type {Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {OperatorService} from '@lilacledge/operator-api';

/** Options of every command that connects to an entry. */
export interface ConnectionOptions {
  readonly entry: string;
  readonly keyFile?: string;
}

/** Environment variable that may hold the operator key. */
export const OPERATOR_KEY_ENV = 'LILACLEDGE_OPERATOR_KEY';

/** Creates a client of the operator API of one entry. */
export function createOperatorClient(
  options: ConnectionOptions,
): Client<typeof OperatorService> {
  const key = readKey(options);
  const transport = createConnectTransport({
    baseUrl: options.entry,
    httpVersion: '1.1',
    interceptors: [
      (next) => (request) => {
        request.header.set('authorization', `Bearer ${key}`);
        return next(request);
      },
    ],
  });
  return createClient(OperatorService, transport);
}

function readKey(options: ConnectionOptions): string {
  if (options.keyFile !== undefined) {
    return readFileSync(options.keyFile, 'utf8').trim();
  }
  const key = process.env[OPERATOR_KEY_ENV];
  if (key === undefined || key === '') {
    throw new Error(
      `no operator key: set ${OPERATOR_KEY_ENV} or pass --key-file`,
    );
  }
  return key;
}
