/** Makes a switch exhaustive: a missing case is a compile-time error. */
export function assertNever(value: never): never {
  throw new Error(`unexpected case: ${JSON.stringify(value)}`);
}
