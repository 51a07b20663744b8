/** Ends an exhaustive switch: the compiler refuses a missing case. */
export function assertNever(value: never): never {
  throw new Error(`unexpected case: ${JSON.stringify(value)}`);
}
