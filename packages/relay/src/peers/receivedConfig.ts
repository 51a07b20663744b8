import {ConfigSource} from '../config/activeConfig.js';
import type {ActiveConfig} from '../config/activeConfig.js';
import type {Logger} from '../log/boundedLog.js';
import type {Peer} from './peerMesh.js';

/** Adopts the configuration that a peer has sent, unless it is invalid or not newer. */
export function adoptPeerConfig(
  config: ActiveConfig,
  log: Logger,
  {hello}: Peer,
  bytes: Buffer,
): void {
  const isNew = config.adopt(bytes, ConfigSource.PEER);
  log.info('config.received', {
    peer: hello.instance,
    bytes: bytes.length,
    isNew,
  });
}
