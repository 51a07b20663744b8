/**
 * How a call to the key-value service failed. `unknown`: a write that may have taken
 * effect; `unavailable`: a call that had no effect.
 */
export type StoreErrorKind = 'unavailable' | 'unknown';

/** Error of a failed call to the key-value service. */
export class StoreError extends Error {
  constructor(
    readonly kind: StoreErrorKind,
    detail: string,
  ) {
    super(`store ${kind}: ${detail}`);
    this.name = 'StoreError';
  }
}
