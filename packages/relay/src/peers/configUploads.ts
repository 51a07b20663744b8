import type {Clock} from '@lilacledge/shared';
import type {ActiveConfig} from '../config/activeConfig.js';
import type {ConfigPartRequest} from './configMessages.js';
import type {Peer} from './peerMesh.js';

/**
 * Size of a part. A peer requests the next part when it has the last one, so that no more
 * than one is in flight on a link, and other messages wait behind one part at most: 37 ms
 * on a link of 7 Mbit/s.
 */
export const CONFIG_PART_BYTES = 32 * 1024;

/** How long a superseded version is kept for a peer that has requested a part of it. */
const PINNED_MS = 5_000;

/** An encoded version that a peer is fetching. */
interface PinnedVersion {
  readonly version: number;
  readonly bytes: Buffer;
  readonly requestedAtMs: number;
}

/** Sends the parts of configurations that peers request. */
export class ConfigUploads {
  private readonly pinned = new Map<Peer, PinnedVersion>();

  constructor(
    private readonly config: ActiveConfig,
    private readonly clock: Clock,
  ) {}

  /** Sends one part, or announces the active version if the requested one is not held. */
  send(peer: Peer, request: ConfigPartRequest): void {
    this.removeUnused();
    const source = this.sourceOf(peer, request);
    const {offset} = request;
    if (source === undefined || offset >= source.bytes.length) {
      peer.send({type: 'configNotice', version: this.config.version});
      return;
    }
    const {version, bytes} = source;
    const end = Math.min(offset + CONFIG_PART_BYTES, bytes.length);
    peer.send({
      type: 'configPart',
      version,
      offset,
      totalBytes: bytes.length,
      bytes: bytes.subarray(offset, end),
    });
    if (end === bytes.length) this.pinned.delete(peer);
    else this.pinned.set(peer, source);
  }

  notePeerClosed(peer: Peer): void {
    this.pinned.delete(peer);
  }

  /** A fetch starts with the active version, and goes on with the version that it has begun. */
  private sourceOf(
    peer: Peer,
    {version, offset}: ConfigPartRequest,
  ): PinnedVersion | undefined {
    const requestedAtMs = this.clock.nowMs();
    const pinned = this.pinned.get(peer);
    if (offset > 0 && pinned?.version === version) {
      return {...pinned, requestedAtMs};
    }
    const {encodedConfig: bytes, version: active} = this.config;
    const isHeld = offset > 0 ? active === version : active >= version;
    if (bytes === undefined || !isHeld) return undefined;
    return {version: active, bytes, requestedAtMs};
  }

  private removeUnused(): void {
    const sinceMs = this.clock.nowMs() - PINNED_MS;
    for (const [peer, {requestedAtMs}] of this.pinned) {
      if (requestedAtMs < sinceMs) this.pinned.delete(peer);
    }
  }
}
