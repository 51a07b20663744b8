/** Exit codes of `lilacledge`; docs/operators.md lists them. */
export const ExitCode = {
  OK: 0,
  FAILED: 1,
  INVALID: 2,
  CONFLICT: 3,
  UNKNOWN: 4,
  STORE_BEHIND: 5,
} as const;
