/** Whether a request has run at its endpoint. */
export const Verdict = {
  NOT_RUN: 'notRun',
  RAN: 'ran',
  MAY_HAVE_RUN: 'mayHaveRun',
} as const;

export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** Whether `value` is one of `Verdict`. */
export function isVerdict(value: unknown): value is Verdict {
  return (
    value === Verdict.NOT_RUN ||
    value === Verdict.RAN ||
    value === Verdict.MAY_HAVE_RUN
  );
}
