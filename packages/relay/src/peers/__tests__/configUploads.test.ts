import {VirtualClock} from '@lilacledge/shared';
import {expect, it} from 'vitest';
import type {ActiveConfig} from '../../config/activeConfig.js';
import {CONFIG_PART_BYTES, ConfigUploads} from '../configUploads.js';
import type {Peer} from '../peerMesh.js';
import type {PeerMessage} from '../peerMessages.js';

function describeMessage(message: PeerMessage): string {
  return message.type === 'configPart'
    ? `${message.version} at ${message.offset}: ${message.bytes.length}`
    : message.type;
}

// Guards against a fetch that never ends in a series of versions: it goes on with the version
// that it has begun.
it('sends a superseded version on to the peer that has begun it, and to no other', () => {
  const active = {
    version: 2,
    encodedConfig: Buffer.alloc(CONFIG_PART_BYTES + 10),
  };
  const uploads = new ConfigUploads(active as ActiveConfig, new VirtualClock());
  const sent: string[] = [];
  const peers = [0, 1].map(
    () =>
      ({
        send: (message: PeerMessage) => sent.push(describeMessage(message)),
      }) as Partial<Peer> as Peer,
  );
  const request = {type: 'configPartRequest', version: 2} as const;
  uploads.send(peers[0]!, {...request, offset: 0});
  active.version = 3;
  uploads.send(peers[0]!, {...request, offset: CONFIG_PART_BYTES});
  uploads.send(peers[1]!, {...request, offset: CONFIG_PART_BYTES});
  uploads.send(peers[1]!, {...request, offset: 0});
  expect(sent).toEqual([
    `2 at 0: ${CONFIG_PART_BYTES}`,
    `2 at ${CONFIG_PART_BYTES}: 10`,
    'configNotice',
    `3 at 0: ${CONFIG_PART_BYTES}`,
  ]);
});
