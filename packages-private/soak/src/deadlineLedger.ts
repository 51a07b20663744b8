/** A time that is handed on may be this much longer than what is left (stated). */
const TOLERANCE_MS = 500;

/** Sends with too long a time that are borne, and their share of those that count (stated). */
const MOST_WRONG = 20;
const MOST_WRONG_SHARE = 0.2;

interface Sent {
  /** The time that its caller gave it. */
  readonly givenMs: number;
  /** Its first arrival, once there was one. */
  first: {readonly atMs: number; readonly endsAtMs: number} | undefined;
}

/** The times that endpoints are given for their work, against those of the callers. */
export class DeadlineLedger {
  private readonly sent = new Map<string, Sent>();
  private wrong = 0;
  /** Sends that came once more later than the tolerance after the first. */
  private lateRepeats = 0;

  /** A caller gives a request so much time. */
  noteSent(requestId: string, givenMs: number): void {
    this.sent.set(requestId, {givenMs, first: undefined});
  }

  /** An endpoint is given so much for it; undefined when it is not told. */
  noteArrival(
    requestId: string,
    atMs: number,
    timeLeftMs: number | undefined,
  ): void {
    const sent = this.sent.get(requestId);
    if (sent === undefined) return;
    const isLate =
      sent.first !== undefined && atMs > sent.first.atMs + TOLERANCE_MS;
    if (isLate) this.lateRepeats++;
    if (isWrong(sent, atMs, timeLeftMs, isLate)) this.wrong++;
    const endsAtMs = atMs + (timeLeftMs ?? sent.givenMs);
    sent.first ??= {atMs, endsAtMs};
  }

  /** Sends that were judged against the first of their request. */
  get lateRepeatCount(): number {
    return this.lateRepeats;
  }

  violations(): string[] {
    const counted = this.wrong + this.lateRepeats;
    const isBorne =
      this.wrong <= MOST_WRONG || this.wrong <= counted * MOST_WRONG_SHARE;
    if (isBorne) return [];
    return [`${this.wrong} sends had no time, or more than was left`];
  }
}

function isWrong(
  {givenMs, first}: Sent,
  atMs: number,
  timeLeftMs: number | undefined,
  isLate: boolean,
): boolean {
  if (timeLeftMs === undefined) return true;
  if (timeLeftMs > givenMs + TOLERANCE_MS) return true;
  if (!isLate || first === undefined) return false;
  return atMs + timeLeftMs > first.endsAtMs + TOLERANCE_MS;
}
