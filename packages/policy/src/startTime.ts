/** Clocks of machines differ by less, also where one is set to another time zone. */
const MAX_CLOCK_LEAD_MS = 24 * 60 * 60 * 1_000;

/**
 * A start time that another process tells, in Unix milliseconds. Undefined, as if it told none, if
 * it is far ahead of the clock of this process: all later ones would seem to be from before it.
 */
export function plausibleStartMs(
  startedAtMs: number | undefined,
  wallMs: number,
): number | undefined {
  if (startedAtMs === undefined) return undefined;
  return startedAtMs <= wallMs + MAX_CLOCK_LEAD_MS ? startedAtMs : undefined;
}
