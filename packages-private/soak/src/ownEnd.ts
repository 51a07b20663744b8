/** The exit of a program that the soak had not requested. */
export interface ProgramExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** Time since the program's start. */
  readonly ageMs: number;
  /** True when the soak had restarted it after a kill or stop of its own. */
  readonly isRestart: boolean;
  /** Signals that the soak had sent it. */
  readonly sent: ReadonlySet<NodeJS.Signals>;
}

/** The requirements attribute an exit within this time of a disruption to the disruption. */
const DISRUPTION_MS = 1_000;

/**
 * True when a signal of the soak ended the program within a second of its restart: Node.js handles
 * no signals before it runs a program, so even a reload signal ends it then.
 */
export function isCausedBySoak(end: ProgramExit): boolean {
  const {signal, ageMs, isRestart, sent} = end;
  return (
    signal !== null && sent.has(signal) && isRestart && ageMs < DISRUPTION_MS
  );
}

/** Describes an unexpected exit in one line. */
export function describeExit(
  name: string,
  {code, signal, ageMs}: ProgramExit,
): string {
  const cause = signal ?? `code ${code}`;
  return `${name} ended by itself: ${cause}, ${Math.round(ageMs)} ms after its start`;
}
