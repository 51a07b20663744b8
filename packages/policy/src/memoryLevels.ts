/**
 * Decides when the memory of a process is worth a log line, so that the last line before a kill
 * by the operating system tells how much of its memory the process had.
 */

const BYTES_PER_MB = 1e6;
const TENTHS = 10;

/** A process has less than half of its memory in usual load. */
const FIRST_TENTH = 5;

/** A tenth counts as left once the memory is lower by this, as it varies with the heap. */
const FALL_TENTHS = 1;

/** A process at its bound is killed at any time. */
const HIGH_TENTH = 8;

const USUAL_SAMPLE_INTERVAL_MS = 1_000;

/** From the first tenth on, as bursts take up the rest within a second. */
const HIGH_SAMPLE_INTERVAL_MS = 250;

/** The memory of a process that entered a higher tenth of what it may use. */
export interface MemoryLevel {
  /** Resident memory as a share of what the process may use. */
  readonly share: number;
  readonly isHigh: boolean;
}

/** Follows the resident memory of a process, by tenths of what it may use. */
export class MemoryLevels {
  private tenth = FIRST_TENTH - 1;
  private isAboveFirst = false;

  constructor(private readonly memoryMb: number) {}

  /** Time until the next sample. */
  get sampleIntervalMs(): number {
    return this.isAboveFirst
      ? HIGH_SAMPLE_INTERVAL_MS
      : USUAL_SAMPLE_INTERVAL_MS;
  }

  /** Notes a sample; returns the level if it is in a higher tenth than those before. */
  note(residentBytes: number): MemoryLevel | undefined {
    const share = residentBytes / (this.memoryMb * BYTES_PER_MB);
    const reached = Math.floor(share * TENTHS);
    this.isAboveFirst = reached >= FIRST_TENTH;
    if (share * TENTHS < this.tenth - FALL_TENTHS) {
      this.tenth = Math.max(FIRST_TENTH - 1, reached);
    }
    if (reached <= this.tenth) return undefined;
    this.tenth = reached;
    return {share, isHigh: reached >= HIGH_TENTH};
  }
}
