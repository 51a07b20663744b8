import {MAX_OPEN_MS} from './openRetry.js';
import type {OpenSend} from './openSend.js';

/**
 * Time in which an endpoint that has answered a send also reads what it had been sent before, on
 * other connections.
 */
const READ_LAG_MS = 1_000;

/** Bounds of the time between two probes, which grows with the silence. */
const MIN_PROBE_INTERVAL_MS = 500;
const MAX_PROBE_INTERVAL_MS = 5_000;
const PROBES_PER_SILENCE = 4;

/**
 * The sends to one incarnation of an endpoint that it has not answered.
 *
 * A process that is suspended, and one behind a network that loses or holds what is sent to it, keep
 * their connections open. What was sent meanwhile may arrive together afterwards. An answer shows
 * that it has read what it was sent before; until then it may get any send that was given up.
 */
export class UnansweredSends {
  private readonly open = new Set<OpenSend>();
  /** Since when the endpoint owes an answer and has given none. */
  private owedSinceMs: number | undefined;
  /** Sends that wait for their answers. */
  private waitingCount = 0;
  private lastProbeMs = Number.NEGATIVE_INFINITY;

  /** Sends whose fate is open, given up or not. */
  get count(): number {
    return this.open.size;
  }

  /** A send is made now, though it may have begun earlier. */
  add(send: OpenSend, nowMs: number): void {
    this.owedSinceMs ??= nowMs;
    this.open.add(send);
    this.waitingCount++;
  }

  /** The endpoint has answered a send. */
  noteAnswered(send: OpenSend, nowMs: number): void {
    this.noteRead(send.sentMs, nowMs);
    this.settle(send, nowMs);
    this.noteLife(nowMs);
  }

  /** The endpoint has answered a probe that was sent at `sentMs`. */
  noteProbeAnswered(sentMs: number, nowMs: number): void {
    this.noteRead(sentMs, nowMs);
    this.noteLife(nowMs);
  }

  /** A send has ended without an answer, and can't arrive any more. */
  noteEnded(send: OpenSend, nowMs: number): void {
    this.settle(send, nowMs);
    if (this.open.size === 0) this.owedSinceMs = undefined;
  }

  /** A send was given up, and the endpoint may get it at any time. */
  noteAbandoned(send: OpenSend, nowMs: number): void {
    if (this.open.has(send)) this.waitingCount--;
    send.abandon(nowMs);
    this.dropOldest(nowMs);
  }

  /** The process of the endpoint has ended, and with it all that it has not read. */
  noteProcessEnded(nowMs: number): void {
    for (const send of this.open) this.settle(send, nowMs);
    this.owedSinceMs = undefined;
  }

  /** For how long the endpoint has owed an answer without giving any. */
  silentForMs(nowMs: number): number {
    return this.owedSinceMs === undefined ? 0 : nowMs - this.owedSinceMs;
  }

  /** Whether a probe is due that shows when a silent endpoint answers again. */
  isProbeDue(nowMs: number): boolean {
    const intervalMs = Math.min(
      MAX_PROBE_INTERVAL_MS,
      Math.max(
        MIN_PROBE_INTERVAL_MS,
        this.silentForMs(nowMs) / PROBES_PER_SILENCE,
      ),
    );
    return nowMs - this.lastProbeMs >= intervalMs;
  }

  noteProbe(nowMs: number): void {
    this.lastProbeMs = nowMs;
  }

  private noteLife(nowMs: number): void {
    this.owedSinceMs = this.waitingCount > 0 ? nowMs : undefined;
  }

  /** The endpoint has read something that was sent at `sentMs`. */
  private noteRead(sentMs: number, nowMs: number): void {
    for (const send of this.open) {
      const {abandonedAtMs = Number.POSITIVE_INFINITY} = send;
      if (abandonedAtMs <= sentMs) this.settle(send, nowMs + READ_LAG_MS);
    }
  }

  private settle(send: OpenSend, arrivedByMs: number): void {
    if (!this.open.delete(send)) return;
    if (send.abandonedAtMs === undefined) this.waitingCount--;
    send.settle(arrivedByMs);
  }

  private dropOldest(nowMs: number): void {
    for (const send of this.open) {
      if (nowMs - send.sentMs <= MAX_OPEN_MS) return;
      this.settle(send, nowMs);
    }
  }
}
