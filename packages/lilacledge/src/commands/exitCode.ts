/** Exit codes of `lilacledge`, listed in docs/operators.md. */
export const ExitCode = {
  OK: 0,
  FAILED: 1,
  INVALID: 2,
  CONFLICT: 3,
  UNKNOWN: 4,
  STORE_BEHIND: 5,
} as const;
