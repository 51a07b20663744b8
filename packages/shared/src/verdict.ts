/** Whether a request may have run at its endpoint. */
export const Verdict = {
  NOT_RUN: 'notRun',
  RAN: 'ran',
  MAY_HAVE_RUN: 'mayHaveRun',
} as const;

export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** True for one of the three verdict words. */
export function isVerdict(value: unknown): value is Verdict {
  return (
    value === Verdict.NOT_RUN ||
    value === Verdict.RAN ||
    value === Verdict.MAY_HAVE_RUN
  );
}
