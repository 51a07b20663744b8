import type {Server, Socket} from 'node:net';
import {
  BULK_READ_PACE,
  CapacityBound,
  ConnectionAdmission,
  connectionCapacity,
  DisplacementPace,
  isNearCapacity,
  LoopPace,
  SENT_AHEAD_PACE,
} from '@lilacledge/policy';
import type {ConnectionCapacity} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import type {ClientLimits} from '../model/index.js';
import {closingAnswer} from './closingAnswer.js';
import {DEFAULT_LIMITS} from './callerServer.js';
import {loopIdleMs, LoopMeter} from './loopMeter.js';
import type {LoopUse} from './loopMeter.js';
import {OpenConnections} from './openConnections.js';
import type {OpenConnection} from './openConnections.js';

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

/** Why a connection is closed before its request was read. */
export const ClosingCause = {
  SATURATED: 'saturated',
  /** The descriptors of the process allow no more, and none can be displaced. */
  DESCRIPTORS: CapacityBound.DESCRIPTORS,
  /** The memory of the process allows no more, and none can be displaced. */
  MEMORY: CapacityBound.MEMORY,
  /** Another connection takes the room of one that had no request for longest. */
  DISPLACED: 'displaced',
} as const;
export type ClosingCause = (typeof ClosingCause)[keyof typeof ClosingCause];

/** Another entry can serve a caller whose connection was displaced at once. */
const DISPLACED_RETRY_MS = 50;

const DISPLACED_ANSWER = closingAnswer(
  503,
  'too many connections',
  DISPLACED_RETRY_MS,
);

/** Who closed a connection that had requests. */
export const ClosedBy = {
  CALLER: 'caller',
  ENTRY: 'entry',
} as const;
export type ClosedBy = (typeof ClosedBy)[keyof typeof ClosedBy];

/** What the connections of callers need of their process. */
export interface CallerConnectionsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Bandwidth of the link of this instance; undefined if unknown. */
  readonly linkMbps: number | undefined;
  /** Descriptors that this process may have open; undefined if unknown. */
  readonly fileDescriptors: number | undefined;
  readonly memoryMb: () => number;
  /** Whether connections are closed while the process is saturated. */
  readonly isLimiting: boolean;
  /** Share of the other entries that are saturated, 0 to 1. */
  readonly saturatedShare: () => number;
  /** True if callers that are sent away would come back to this entry. */
  readonly isAlone: () => boolean;
  /** Called with each measurement. */
  readonly onMeasured: (isSaturated: boolean) => void;
  /** Called for each connection that is closed before its request was read. */
  readonly onClosedUnread: (cause: ClosingCause) => void;
  /** Called for each connection that is closed while requests on it are unanswered. */
  readonly onClosedWithRequests: (by: ClosedBy) => void;
  /** Called for each connection that was taken and is closed. */
  readonly onClosed: () => void;
}

/**
 * Measures what the connections of callers cost this process, and closes new ones before a byte
 * of their requests is read while it could not serve them. Where all that may be open are open,
 * a new one takes the room of the one that has been without a request for longest.
 */
export class CallerConnections {
  private readonly admission = new ConnectionAdmission();
  private readonly displacements = new DisplacementPace();
  private readonly sentAheadPace = new LoopPace(SENT_AHEAD_PACE);
  private readonly readingPace = new LoopPace(BULK_READ_PACE);
  readonly open = new OpenConnections();
  private readonly loop = new LoopMeter();
  private newConnections = 0;
  private closedUnread = 0;
  private wasLimiting = false;
  private sampledAtMs: number;
  private loggedAtMs = Number.NEGATIVE_INFINITY;
  private closedBytes = 0;
  private lastSentBytes = 0;

  private maxHeaderBytes = DEFAULT_LIMITS.maxHeaderBytes;

  constructor(private readonly options: CallerConnectionsOptions) {
    this.sampledAtMs = options.clock.nowMs();
  }

  get openCount(): number {
    return this.open.size;
  }

  /** The limit of new connections a second; undefined while all are taken. */
  get limitPerS(): number | undefined {
    return this.options.isLimiting ? this.admission.limitPerS : undefined;
  }

  /** The limits of a configuration hold from now on. */
  setLimits({maxHeaderBytes}: ClientLimits): void {
    // The parsers of open connections keep the former limit.
    if (maxHeaderBytes > this.maxHeaderBytes) this.open.retireAll();
    this.maxHeaderBytes = maxHeaderBytes;
  }

  /** Returns whether the answer that is written now is to end its connection. */
  takeRelease(socket?: Socket | null): boolean {
    if (socket && this.open.get(socket)?.isRetired) return true;
    if (isNearCapacity(this.open.busySize, this.capacity.connections)) {
      return true;
    }
    const {isLimiting, isAlone} = this.options;
    return isLimiting && this.admission.takeRelease() && !isAlone();
  }

  /** Takes or closes each new connection of a server before the server sees it. */
  guard(server: Server): void {
    const handlers = server.listeners('connection');
    server.removeAllListeners('connection');
    server.on('connection', (socket: Socket) => {
      const refusal = this.takeRoom();
      if (refusal === undefined) {
        this.add(socket);
        for (const handle of handlers) handle.call(server, socket);
        return;
      }
      // Nothing has been read yet: a socket is read in later iterations of the event loop.
      socket.destroy();
      this.closedUnread++;
      this.options.onClosedUnread(refusal);
    });
  }

  /** Evaluated at each use, since a reload of the settings may change the memory. */
  private get capacity(): ConnectionCapacity {
    const {fileDescriptors, memoryMb} = this.options;
    const {maxHeaderBytes} = this;
    return connectionCapacity({
      fileDescriptors,
      memoryMb: memoryMb(),
      maxHeaderBytes,
    });
  }

  /** Makes room for a connection that arrives now, or returns why there is none. */
  private takeRoom(): ClosingCause | undefined {
    if (!this.admit()) return ClosingCause.SATURATED;
    const {connections, bound} = this.capacity;
    if (this.open.size < connections) return undefined;
    if (!this.mayDisplace()) return bound;
    this.open.endLongestIdle(DISPLACED_ANSWER);
    this.options.onClosedUnread(ClosingCause.DISPLACED);
    return undefined;
  }

  private mayDisplace(): boolean {
    const {clock, memoryMb} = this.options;
    if (!this.open.hasIdle) return false;
    return this.displacements.take(memoryMb(), clock.nowMs());
  }

  /**
   * Returns whether a request that was sent before the answer to an earlier one on its connection
   * may be begun now. New connections go first.
   */
  takeSentAheadTurn(): boolean {
    return this.takeTurn(this.sentAheadPace);
  }

  /** Returns whether the next piece of a large body or answer may be read now. */
  takeReadingTurn(): boolean {
    return this.takeTurn(this.readingPace);
  }

  private takeTurn(pace: LoopPace): boolean {
    const {clock, isLimiting} = this.options;
    const nowMs = clock.nowMs();
    this.sampleIfDue(nowMs);
    return !isLimiting || pace.take(nowMs, loopIdleMs());
  }

  private sampleIfDue(nowMs: number): void {
    if (nowMs - this.sampledAtMs >= SAMPLE_INTERVAL_MS) this.sample(nowMs);
  }

  private admit(): boolean {
    const nowMs = this.options.clock.nowMs();
    this.newConnections++;
    this.sampleIfDue(nowMs);
    const isAdmitted = this.admission.admit(nowMs);
    return isAdmitted || !this.options.isLimiting;
  }

  private add(socket: Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      const connection = this.open.remove(socket);
      this.closedBytes += sentBytes(socket);
      if (connection !== undefined && connection.requests > 0) {
        this.noteClosedWithRequests(connection);
      }
      this.options.onClosed();
    });
  }

  private noteClosedWithRequests(connection: OpenConnection): void {
    const {socket, requests, newest, answeredBytes} = connection;
    const by = closedBy(socket);
    this.options.log.info('connection.closedWithRequests', {
      by,
      requests,
      readBytes: socket.bytesRead - answeredBytes,
      wasReadWhole: newest?.complete ?? false,
      sentBytes: sentBytes(socket),
    });
    this.options.onClosedWithRequests(by);
  }

  private sample(nowMs: number): void {
    this.sampledAtMs = nowMs;
    const load = this.measure();
    const utilisation = Math.max(load.utilisation, load.linkUtilisation);
    const {saturatedShare, onMeasured} = this.options;
    this.admission.noteUse(load, nowMs, saturatedShare());
    onMeasured(this.admission.isSaturated);
    this.logLimit(load);
    if (utilisation >= BUSY_UTILISATION) this.logBusy(load, nowMs);
  }

  private logLimit(load: EntryLoad): void {
    const isLimiting = this.limitPerS !== undefined;
    if (isLimiting === this.wasLimiting) return;
    this.wasLimiting = isLimiting;
    const fields = loadFields(load);
    const {log} = this.options;
    if (isLimiting) log.warn('entry.limitsConnections', fields);
    else {
      log.info('entry.takesAllConnections', {
        ...fields,
        closedUnread: this.closedUnread,
      });
      this.closedUnread = 0;
    }
  }

  private measure(): EntryLoad {
    const use = this.loop.read();
    const {newConnections} = this;
    this.newConnections = 0;
    let totalSentBytes = this.closedBytes;
    let waitingBytes = 0;
    for (const socket of this.open.sockets()) {
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
    const {linkMbps} = this.options;
    if (linkMbps === undefined || forMs <= 0) return 0;
    const bytesPerMs = (linkMbps * 1_000) / 8;
    return bytes / (bytesPerMs * forMs);
  }

  private logBusy(load: EntryLoad, nowMs: number): void {
    if (nowMs - this.loggedAtMs < LOG_INTERVAL_MS) return;
    this.loggedAtMs = nowMs;
    const {limitPerS, closedUnread} = this;
    this.options.log.info('entry.busy', {
      ...loadFields(load),
      ...(limitPerS !== undefined && {limitPerS: rounded(limitPerS)}),
      closedUnread,
    });
  }
}

function closedBy(socket: Socket): ClosedBy {
  const hasCallerLeft = socket.readableEnded || socket.errored !== null;
  return hasCallerLeft ? ClosedBy.CALLER : ClosedBy.ENTRY;
}

/** Bytes that the system has taken from a socket. */
function sentBytes(socket: Socket): number {
  return socket.bytesWritten - socket.writableLength;
}

function loadFields(load: EntryLoad): Readonly<Record<string, number>> {
  return {
    utilisation: rounded(load.utilisation),
    iterationMs: rounded(load.iterationMs),
    linkUtilisation: rounded(load.linkUtilisation),
    waitingBytes: load.waitingBytes,
    openConnections: load.openConnections,
    newConnections: load.newConnections,
    forMs: Math.round(load.forMs),
  };
}

function rounded(value: number): number {
  return Math.round(value * 100) / 100;
}
