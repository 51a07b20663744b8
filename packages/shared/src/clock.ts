/** Cancels a timer; calling it again does nothing. */
export type CancelTimer = () => void;

/**
 * The only source of time in the product, in milliseconds.
 *
 * `nowMs` is monotonic, has no fixed origin and includes suspensions of the instance.
 * `wallMs` is Unix time, used only where times of several instances are compared
 * (mint times of keys, grants).
 */
export interface Clock {
  nowMs(): number;
  wallMs(): number;
  /** Runs `task` once after `delayMs`. */
  after(delayMs: number, task: () => void): CancelTimer;
}

/** Resolves after `delayMs`, or at once when `signal` is aborted. */
export function sleep(
  clock: Clock,
  delayMs: number,
  signal?: AbortSignal,
): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const cancel = clock.after(delayMs, finish);
    function finish(): void {
      cancel();
      signal?.removeEventListener('abort', finish);
      resolve();
    }
    signal?.addEventListener('abort', finish, {once: true});
  });
}
