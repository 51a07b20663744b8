/** The end of a program that nobody had asked for. */
export interface ProgramEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** Time since the program's start. */
  readonly ageMs: number;
  /** True when it was started anew after an end that was brought about. */
  readonly isRestart: boolean;
  /** Signals that it was sent. */
  readonly sent: ReadonlySet<NodeJS.Signals>;
}

/** An end within this time after a disruption is put down to it (stated). */
const DISTURBED_MS = 1_000;

/**
 * True for the end that the soak itself brought by a signal, within a second of the kill or the
 * stop after which the program was started: Node.js takes no signals before it runs a program.
 */
export function isBroughtAbout(end: ProgramEnd): boolean {
  const {signal, ageMs, isRestart, sent} = end;
  return (
    signal !== null && sent.has(signal) && isRestart && ageMs < DISTURBED_MS
  );
}

/** One line on an end that nobody had asked for. */
export function describeEnd(
  name: string,
  {code, signal, ageMs}: ProgramEnd,
): string {
  const cause = signal ?? `code ${code}`;
  return `${name} ended by itself: ${cause}, ${Math.round(ageMs)} ms after its start`;
}
