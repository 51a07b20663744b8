import {Packr} from 'msgpackr';
import {WebSocket} from 'ws';
import type {RawData} from 'ws';
import type {Clock} from '@lilacledge/shared';
import {parsePeerMessage} from './peerMessages.js';
import type {PeerMessage} from './peerMessages.js';

/** A heartbeat is sent when no other message was sent for this long. */
const HEARTBEAT_INTERVAL_MS = 1_000;

/** A link is closed when nothing was received for this long: three heartbeats were lost. */
const SILENCE_TIMEOUT_MS = 3_500;

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
}

/** A WebSocket connection to another process of the relay, kept alive by heartbeats. */
export class PeerLink {
  private lastReceivedMs: number;
  private lastSentMs: number;
  private isClosed = false;
  private cancelTimer: () => void = () => {};

  constructor(
    private readonly socket: WebSocket,
    private readonly events: PeerLinkEvents,
    private readonly clock: Clock,
  ) {
    this.lastReceivedMs = clock.nowMs();
    this.lastSentMs = clock.nowMs();
    socket.binaryType = 'nodebuffer';
    socket.on('message', (data) => this.receive(data));
    socket.on('close', (code) => this.close(`closed with code ${code}`));
    socket.on('error', (error) => this.close(error.message));
    this.scheduleHeartbeat();
  }

  send(message: PeerMessage): void {
    if (this.isClosed || this.socket.readyState !== WebSocket.OPEN) return;
    if (this.socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      this.close('the peer does not read');
      return;
    }
    this.lastSentMs = this.clock.nowMs();
    this.socket.send(packr.pack(message));
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
    this.lastReceivedMs = this.clock.nowMs();
    const message = decode(data as Buffer);
    if (message === undefined) {
      this.close('malformed frame');
      return;
    }
    this.events.message(message);
  }

  private scheduleHeartbeat(): void {
    this.cancelTimer = this.clock.after(HEARTBEAT_INTERVAL_MS / 2, () => {
      const nowMs = this.clock.nowMs();
      if (nowMs - this.lastReceivedMs > SILENCE_TIMEOUT_MS) {
        this.close('silent');
        return;
      }
      if (nowMs - this.lastSentMs >= HEARTBEAT_INTERVAL_MS) {
        this.send({type: 'alive'});
      }
      this.scheduleHeartbeat();
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
