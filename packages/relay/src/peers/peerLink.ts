import {Packr} from 'msgpackr';
import {WebSocket} from 'ws';
import type {RawData} from 'ws';
import {
  LINK_CHECK_INTERVAL_MS,
  linkHeartbeatMs,
  LinkSilence,
} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import {parsePeerMessage} from './peerMessages.js';
import type {PeerMessage} from './peerMessages.js';

/**
 * A link is closed when this much is buffered for a slow peer, which recovers what it
 * missed after reconnecting.
 */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

/** Maximum frame size; fits a configuration of the maximum size of a store value. */
export const MAX_FRAME_BYTES = 2 * 1024 * 1024;

// Without records each frame is self-contained: decoding does not depend on earlier frames.
const packr = new Packr({useRecords: false});

/** Callbacks of a link. */
export interface PeerLinkEvents {
  message(message: PeerMessage): void;
  closed(cause: string): void;
  /** A message was not sent, as the peer would close the link over it. */
  unsent(type: PeerMessage['type'], frameBytes: number): void;
}

/** A WebSocket connection to another process of the relay, kept alive by heartbeats. */
export class PeerLink {
  private readonly silence: LinkSilence;
  private readonly heartbeatIntervalMs: number;
  private lastSentMs: number;
  private isClosed = false;
  private cancelTimer: () => void = () => {};

  constructor(
    private readonly socket: WebSocket,
    private readonly events: PeerLinkEvents,
    private readonly clock: Clock,
    /** Time within which the peers must know again what they have missed. */
    settleMs: number,
  ) {
    this.silence = new LinkSilence(settleMs);
    this.heartbeatIntervalMs = linkHeartbeatMs(settleMs);
    this.lastSentMs = clock.nowMs();
    socket.binaryType = 'nodebuffer';
    socket.on('message', (data) => this.receive(data));
    socket.on('close', (code) => this.close(`closed with code ${code}`));
    socket.on('error', (error) => this.close(error.message));
    this.scheduleCheck();
  }

  send(message: PeerMessage): void {
    if (this.isClosed || this.socket.readyState !== WebSocket.OPEN) return;
    if (this.socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      this.close('the peer does not read');
      return;
    }
    const frame = packr.pack(message);
    const isReadable = parsePeerMessage(message) !== undefined;
    if (!isReadable || frame.length > MAX_FRAME_BYTES) {
      this.events.unsent(message.type, frame.length);
      return;
    }
    this.lastSentMs = this.clock.nowMs();
    this.socket.send(frame);
  }

  /** Closes the link at once, without a closing handshake. */
  close(cause: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.cancelTimer();
    this.socket.terminate();
    this.events.closed(cause);
  }

  private receive(data: RawData): void {
    this.silence.noteReceived();
    const message = decode(data as Buffer);
    if (message === undefined) {
      this.close('malformed frame');
      return;
    }
    this.events.message(message);
  }

  private scheduleCheck(): void {
    this.cancelTimer = this.clock.after(LINK_CHECK_INTERVAL_MS, () => {
      if (this.silence.check()) {
        this.close('silent');
        return;
      }
      const idleMs = this.clock.nowMs() - this.lastSentMs;
      if (idleMs >= this.heartbeatIntervalMs) this.send({type: 'alive'});
      this.scheduleCheck();
    });
  }
}

function decode(frame: Buffer): PeerMessage | undefined {
  try {
    return parsePeerMessage(packr.unpack(frame));
  } catch {
    // The caller closes the link with this as the cause.
    return undefined;
  }
}
