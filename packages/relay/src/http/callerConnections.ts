import type {Socket} from 'node:net';
import type {Clock} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import {LoopMeter} from './loopMeter.js';
import type {LoopUse} from './loopMeter.js';

/** Interval between two measurements while connections arrive. */
const SAMPLE_INTERVAL_MS = 100;

/** Interval between two log lines while the entry is busy. */
const LOG_INTERVAL_MS = 1_000;

/** The entry counts as busy from this use of its event loop or its link on, 0 to 1. */
const BUSY_UTILISATION = 0.8;

/** The load of an entry between two measurements. */
export interface EntryLoad extends LoopUse {
  /** Share of the link that answers to callers took; 0 if its bandwidth is unknown. */
  readonly linkUtilisation: number;
  /** Bytes of answers that the connections of callers have not taken yet. */
  readonly waitingBytes: number;
  readonly openConnections: number;
  readonly newConnections: number;
}

/** Counts the connections of callers and measures what they cost this process. */
export class CallerConnections {
  private readonly open = new Set<Socket>();
  private readonly loop = new LoopMeter();
  private newConnections = 0;
  private sampledAtMs: number;
  private loggedAtMs = Number.NEGATIVE_INFINITY;
  private closedBytes = 0;
  private lastSentBytes = 0;

  /** @param linkMbps bandwidth of the link of this instance; undefined if unknown. */
  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly linkMbps: number | undefined,
  ) {
    this.sampledAtMs = clock.nowMs();
  }

  get openCount(): number {
    return this.open.size;
  }

  /** Counts a new connection; measures the load if the last measurement is old enough. */
  accept(socket: Socket): void {
    this.newConnections++;
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedBytes += sentBytes(socket);
    });
    const nowMs = this.clock.nowMs();
    if (nowMs - this.sampledAtMs < SAMPLE_INTERVAL_MS) return;
    this.sampledAtMs = nowMs;
    this.logIfBusy(this.measure(), nowMs);
  }

  private measure(): EntryLoad {
    const use = this.loop.read();
    const {newConnections} = this;
    this.newConnections = 0;
    let totalSentBytes = this.closedBytes;
    let waitingBytes = 0;
    for (const socket of this.open) {
      totalSentBytes += sentBytes(socket);
      waitingBytes += socket.writableLength;
    }
    const sent = totalSentBytes - this.lastSentBytes;
    this.lastSentBytes = totalSentBytes;
    return {
      ...use,
      linkUtilisation: this.linkShare(sent, use.forMs),
      waitingBytes,
      openConnections: this.open.size,
      newConnections,
    };
  }

  private linkShare(bytes: number, forMs: number): number {
    const {linkMbps} = this;
    if (linkMbps === undefined || forMs <= 0) return 0;
    const bytesPerMs = (linkMbps * 1_000) / 8;
    return bytes / (bytesPerMs * forMs);
  }

  private logIfBusy(load: EntryLoad, nowMs: number): void {
    const utilisation = Math.max(load.utilisation, load.linkUtilisation);
    if (utilisation < BUSY_UTILISATION) return;
    if (nowMs - this.loggedAtMs < LOG_INTERVAL_MS) return;
    this.loggedAtMs = nowMs;
    this.log.info('entry.busy', {
      utilisation: rounded(load.utilisation),
      iterationMs: rounded(load.iterationMs),
      linkUtilisation: rounded(load.linkUtilisation),
      waitingBytes: load.waitingBytes,
      openConnections: load.openConnections,
      newConnections: load.newConnections,
      forMs: Math.round(load.forMs),
    });
  }
}

/** Bytes that the system has taken from a socket. */
function sentBytes(socket: Socket): number {
  return socket.bytesWritten - socket.writableLength;
}

function rounded(value: number): number {
  return Math.round(value * 100) / 100;
}
