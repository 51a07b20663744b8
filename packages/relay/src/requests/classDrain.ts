import {DrainRate} from '@lilacledge/policy';

/** A shortage continues through pauses up to this long in which no request waits. */
const SHORTAGE_GAP_MS = 1_000;

/** Measures how fast the requests of one class get room, while any of them waits. */
export class ClassDrain {
  private readonly rate = new DrainRate();
  /** When requests were last left waiting; undefined if none was. */
  private lastWaitingMs: number | undefined;
  /** Tokens admitted since the queue was last processed, less those that had no room after all. */
  private admittedTokens = 0;
  /** Start of the current or last shortage of room. */
  private shortSinceMs = 0;
  /** When a request last found no room. */
  private lastShortMs = -Infinity;

  noteAdmitted(tokens: number): void {
    this.admittedTokens += tokens;
  }

  noteWithdrawn(tokens: number): void {
    this.admittedTokens -= tokens;
  }

  /** All waiting requests were checked for room. */
  noteProcessed(nowMs: number): void {
    // Admissions while no request waits do not show how fast a queue drains.
    if (this.lastWaitingMs !== undefined) {
      this.rate.note(nowMs - this.lastWaitingMs, this.admittedTokens);
    }
    this.admittedTokens = 0;
    this.lastWaitingMs = undefined;
  }

  /** A request of the class found no room. */
  noteShort(nowMs: number): void {
    if (nowMs > this.lastShortMs + SHORTAGE_GAP_MS) this.shortSinceMs = nowMs;
    this.lastShortMs = nowMs;
  }

  /** How long requests of the class have been short of room. */
  shortForMs(nowMs: number): number {
    return nowMs - this.shortSinceMs;
  }

  /** A request of the class is left waiting. */
  noteWaiting(nowMs: number): void {
    this.lastWaitingMs = nowMs;
  }

  /** Expected time until `tokens` of the class are admitted. */
  expectedWaitMs(tokens: number): number {
    return this.rate.expectedWaitMs(tokens);
  }

  /** Rate at which the class is admitted; undefined before it was measured. */
  get measuredTokensPerMs(): number | undefined {
    return this.rate.measuredTokensPerMs;
  }
}
