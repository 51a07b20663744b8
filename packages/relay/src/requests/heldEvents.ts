import type {ServerResponse} from 'node:http';
import {
  HELD_CHECK_INTERVAL_MS,
  HELD_EVENT_OVERHEAD_BYTES,
  HeldBytes,
} from '@lilacledge/policy';
import type {HeldStream} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';

/**
 * Bytes that are given to the caller's connection at a time. The caller's progress shows in
 * steps of this size, so one that takes 4 KiB a second is not given up.
 */
const MAX_IN_FLIGHT_BYTES = 16 * 1024;

/** The events held for all callers of this process. */
export class HeldStreams {
  private readonly byState = new Map<HeldStream, HeldEvents>();
  private readonly bytes: HeldBytes;
  private cancelCheck: (() => void) | undefined;

  /** @param limitBytes bound on the bytes held by this process. */
  constructor(
    private readonly clock: Clock,
    limitBytes: () => number,
  ) {
    this.bytes = new HeldBytes(limitBytes);
  }

  get totalBytes(): number {
    return this.bytes.totalBytes;
  }

  get streamCount(): number {
    return this.bytes.streamCount;
  }

  /**
   * Opens the stream of an answer whose head was sent.
   *
   * @param deadlineMs when the caller stops waiting for its answer.
   * @param giveUp called when the caller took nothing for too long; must close the response.
   */
  open(
    response: ServerResponse,
    deadlineMs: number,
    giveUp: (events: HeldEvents) => void,
  ): HeldEvents {
    const state = this.bytes.open(deadlineMs);
    const events = new HeldEvents(response, state, this, () => giveUp(events));
    this.byState.set(state, events);
    if (response.destroyed) events.close();
    else response.once('close', () => events.close());
    this.scheduleCheck();
    return events;
  }

  add(state: HeldStream, bytes: number): void {
    this.bytes.add(state, bytes);
  }

  remove(state: HeldStream, bytes: number): void {
    this.notifyResumed(this.bytes.remove(state, bytes));
  }

  close(state: HeldStream): void {
    this.byState.delete(state);
    this.notifyResumed(this.bytes.close(state));
  }

  private notifyResumed(resumed: readonly HeldStream[]): void {
    for (const state of resumed) this.byState.get(state)?.notify();
  }

  private scheduleCheck(): void {
    if (this.cancelCheck !== undefined || this.bytes.isEmpty) return;
    this.cancelCheck = this.clock.after(HELD_CHECK_INTERVAL_MS, () => {
      this.cancelCheck = undefined;
      for (const state of this.bytes.check(this.clock.nowMs())) {
        this.byState.get(state)?.giveUp();
      }
      this.scheduleCheck();
    });
  }
}

/** The events of one answer that its caller's connection has not taken yet, in order. */
export class HeldEvents {
  /** Events that were not given to the connection yet. */
  private readonly queue: Buffer[] = [];
  /** Bytes given to the connection that it has not taken yet, without overhead. */
  private inFlightBytes = 0;
  private isClosed = false;
  private waiters: Array<() => void> = [];

  constructor(
    private readonly response: ServerResponse,
    private readonly state: HeldStream,
    private readonly streams: HeldStreams,
    readonly giveUp: () => void,
  ) {}

  get heldBytes(): number {
    return this.state.heldBytes;
  }

  /** True while no more of the answer may be read from the engine. */
  get isPaused(): boolean {
    return this.state.isPaused && !this.isClosed;
  }

  /** True while events wait that were not given to the connection; false once it is closed. */
  get hasQueued(): boolean {
    return this.queue.length > 0;
  }

  write(bytes: Buffer): void {
    if (this.isClosed) return;
    this.streams.add(this.state, heldSize(bytes));
    this.queue.push(bytes);
    this.giveToConnection();
  }

  /** Declares that the engine sends no more. */
  noteAnswered(): void {
    this.state.isAnswered = true;
  }

  /** Resolves when reading may go on, or the signal is aborted. */
  async whenResumed(signal: AbortSignal): Promise<void> {
    while (this.isPaused && !signal.aborted) await this.nextChange(signal);
  }

  /** Resolves once all events were given to the connection, or it is closed. */
  async whenGiven(): Promise<void> {
    while (this.hasQueued) await this.nextChange();
  }

  /** Resolves once the connection has taken all events, or it is closed. */
  async whenTaken(): Promise<void> {
    while (!this.isClosed && (this.hasQueued || this.inFlightBytes > 0)) {
      await this.nextChange();
    }
  }

  /** Frees everything; called when the response is closed. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.queue.length = 0;
    this.streams.close(this.state);
    this.notify();
  }

  notify(): void {
    const {waiters} = this;
    this.waiters = [];
    for (const wake of waiters) wake();
  }

  private giveToConnection(): void {
    while (this.hasQueued && this.inFlightBytes < MAX_IN_FLIGHT_BYTES) {
      const bytes = this.queue.shift()!;
      this.inFlightBytes += bytes.length;
      this.response.write(bytes, () => this.noteTaken(bytes));
    }
  }

  private noteTaken(bytes: Buffer): void {
    if (this.isClosed) return;
    this.inFlightBytes -= bytes.length;
    this.streams.remove(this.state, heldSize(bytes));
    this.giveToConnection();
    this.notify();
  }

  private nextChange(signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        signal?.removeEventListener('abort', wake);
        resolve();
      };
      this.waiters.push(wake);
      signal?.addEventListener('abort', wake, {once: true});
    });
  }
}

function heldSize(bytes: Buffer): number {
  return bytes.length + HELD_EVENT_OVERHEAD_BYTES;
}
