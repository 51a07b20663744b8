import {HELD_CHECK_INTERVAL_MS, READER_STALL_LIMIT_MS} from './heldBytes.js';
import {SMALL_PAYLOAD_BYTES} from './payloadLimits.js';

/**
 * Decides from which endpoints a process goes on reading plain answers, which it holds whole
 * until their callers have taken them, and which callers are given up.
 *
 * The request of an answer has run, so an answer without room waits and is never refused.
 */

/** An answer may hold this many times what is still free, so that the largest wait first. */
const FREE_FACTOR = 4;

/** What a resumed answer reads at least. */
const READ_BYTES = 64 * 1024;

/** The first of these checks starts the time. */
const CHECKS_WITHOUT_PROGRESS =
  1 + READER_STALL_LIMIT_MS / HELD_CHECK_INTERVAL_MS;

/** What is held of one answer; changed through `HeldAnswerBytes`. */
export interface HeldAnswerState {
  readonly heldBytes: number;
  /** True while no more of the answer must be read from its endpoint. */
  readonly isPaused: boolean;
}

interface AnswerState extends HeldAnswerState {
  heldBytes: number;
  isPaused: boolean;
  isComplete: boolean;
  /** Checks in a row in which others waited and the caller had taken nothing. */
  stalledChecks: number;
}

/**
 * The bytes that a process holds of plain answers. As answers that wait for each other would
 * never end, one of them at a time is read on beyond the bound. It gets this place only while
 * the sum is within the bound, so that the bound is exceeded by one answer at most.
 */
export class HeldAnswerBytes {
  private readonly answers = new Set<AnswerState>();
  /** The longest waiting first. */
  private readonly paused = new Set<AnswerState>();
  /** The answer that is read on whatever it holds. */
  private preferred: AnswerState | undefined;
  private sumBytes = 0;

  /** @param limitBytes evaluated at each use, since a reload of the settings may change it. */
  constructor(private readonly limitBytes: () => number) {}

  get totalBytes(): number {
    return this.sumBytes;
  }

  /** True while answers wait for room, so that `check` has work. */
  get needsChecks(): boolean {
    return this.paused.size > 0;
  }

  /**
   * Registers an answer, which pauses at once if it lacks room.
   *
   * @param statedBytes size of the answer; infinite if it is unknown.
   */
  open(statedBytes: number): HeldAnswerState {
    const answer: AnswerState = {
      heldBytes: 0,
      isPaused: false,
      isComplete: false,
      stalledChecks: 0,
    };
    this.answers.add(answer);
    const firstBytes = Math.min(statedBytes, READ_BYTES);
    const first = {...answer, heldBytes: firstBytes};
    if (!this.hasRoom(first, this.freeBytes - firstBytes)) this.pause(answer);
    return answer;
  }

  /** Counts bytes of the answer as held, which may pause it. */
  add(held: HeldAnswerState, bytes: number): void {
    const answer = this.stateOf(held);
    if (answer === undefined) return;
    answer.heldBytes += bytes;
    this.sumBytes += bytes;
    if (!this.hasRoom(answer, this.freeBytes)) this.pause(answer);
  }

  /** Declares that the answer has arrived. Returns the answers that resume. */
  complete(held: HeldAnswerState): HeldAnswerState[] {
    const answer = this.stateOf(held);
    if (answer === undefined) return [];
    answer.isComplete = true;
    this.unpause(answer);
    return this.resume();
  }

  /** Counts bytes as taken by the caller. Returns the answers that resume. */
  remove(held: HeldAnswerState, bytes: number): HeldAnswerState[] {
    const answer = this.stateOf(held);
    if (answer === undefined) return [];
    answer.stalledChecks = 0;
    answer.heldBytes -= bytes;
    this.sumBytes -= bytes;
    return this.resume();
  }

  /** Counts nothing of the answer any more. Returns the answers that resume. */
  close(held: HeldAnswerState): HeldAnswerState[] {
    const answer = this.stateOf(held);
    if (answer === undefined) return [];
    this.answers.delete(answer);
    this.unpause(answer);
    this.sumBytes -= answer.heldBytes;
    return this.resume();
  }

  /**
   * Call this every `HELD_CHECK_INTERVAL_MS` while it is needed. Returns the answers whose
   * callers are given up.
   */
  check(): HeldAnswerState[] {
    const givenUp: HeldAnswerState[] = [];
    for (const answer of this.answers) {
      if (!answer.isComplete) continue;
      answer.stalledChecks = this.needsChecks ? answer.stalledChecks + 1 : 0;
      if (answer.stalledChecks >= CHECKS_WITHOUT_PROGRESS) givenUp.push(answer);
    }
    return givenUp;
  }

  private get freeBytes(): number {
    return this.limitBytes() - this.sumBytes;
  }

  private hasRoom({heldBytes}: AnswerState, freeBytes: number): boolean {
    if (heldBytes <= SMALL_PAYLOAD_BYTES) return true;
    return heldBytes <= freeBytes * FREE_FACTOR;
  }

  private pause(answer: AnswerState): void {
    if (this.prefer(answer)) return;
    answer.isPaused = true;
    this.paused.add(answer);
  }

  /** Returns whether the answer is the one that is read on whatever it holds. */
  private prefer(answer: AnswerState): boolean {
    const mayExceed = this.freeBytes >= 0 || this.isBlocked(answer);
    if (this.preferred === undefined && mayExceed) {
      this.preferred = answer;
    }
    return this.preferred === answer;
  }

  /** True if all others wait too, so that none of them will make room. */
  private isBlocked(answer: AnswerState): boolean {
    return [...this.answers].every((one) => one === answer || one.isPaused);
  }

  private unpause(answer: AnswerState): void {
    answer.isPaused = false;
    this.paused.delete(answer);
    if (this.preferred === answer) this.preferred = undefined;
  }

  private resume(): HeldAnswerState[] {
    const resumed: HeldAnswerState[] = [];
    let freeBytes = this.freeBytes;
    for (const answer of this.paused) {
      const hasRoom = this.hasRoom(answer, freeBytes - READ_BYTES);
      if (!hasRoom && !this.prefer(answer)) break;
      freeBytes -= READ_BYTES;
      answer.isPaused = false;
      this.paused.delete(answer);
      resumed.push(answer);
    }
    return resumed;
  }

  private stateOf(held: HeldAnswerState): AnswerState | undefined {
    const answer = held as AnswerState;
    return this.answers.has(answer) ? answer : undefined;
  }
}
