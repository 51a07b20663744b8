import type {Clock} from '@lilacledge/shared';

/** A stream that goes on for this time after its first event does not crash its engine. */
export const PROOF_MS = 250;

/**
 * Whether the stream of a generation shows that the request does not crash engines. The first
 * event alone does not: an engine may send it and crash right after.
 */
export class HarmlessnessProof {
  /** True once an engine has run the request for `PROOF_MS` after an event. */
  isProven = false;
  private firstEventMs: number | undefined;

  constructor(private readonly clock: Pick<Clock, 'nowMs'>) {}

  /** True if the engine of the latest send has sent an event. */
  get hasEvents(): boolean {
    return this.firstEventMs !== undefined;
  }

  /** The request was sent to another engine. */
  noteSent(): void {
    this.firstEventMs = undefined;
  }

  /** Returns true for the event that completes the proof. */
  noteEvent(): boolean {
    if (this.isProven) return false;
    const nowMs = this.clock.nowMs();
    this.firstEventMs ??= nowMs;
    this.isProven = nowMs - this.firstEventMs >= PROOF_MS;
    return this.isProven;
  }
}
