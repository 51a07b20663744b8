import type {Clock} from '@lilacledge/shared';

/** When a read without an answer is asked again beside the first. */
export interface HedgeSettings {
  /** Time without an answer after which the next read is sent, in milliseconds. */
  readonly afterMs: number;
  /** Reads in all that may be open at a time. */
  readonly mostOpen: number;
}

/**
 * Resolves with the first read that is good, or with the last that ended when
 * none is. Reads have no effect, so that several may be open.
 *
 * Answers the pattern of a dependency that falls silent and comes back: a call
 * into the silence never gets an answer, and its timeout, sized for a slow
 * dependency, would be the delay after the return. With a read of 1.5 s the
 * delay falls from up to 1.5 s to `afterMs` and one answer. An answer that has begun
 * is not asked for again: on a small link a second copy would slow both.
 */
export function hedgeRead<T>(
  read: (begun: () => void) => Promise<T>,
  isGood: (result: T) => boolean,
  settings: HedgeSettings,
  clock: Clock,
): Promise<T> {
  return new Promise((resolve) => {
    let open = 0;
    let sent = 0;
    let isSettled = false;
    let hasBegun = false;
    let cancelNext = (): void => {};

    function finish(result: T): void {
      isSettled = true;
      cancelNext();
      resolve(result);
    }

    function begun(): void {
      hasBegun = true;
      cancelNext();
    }

    function send(): void {
      open++;
      sent++;
      void read(begun).then((result) => {
        open--;
        if (isSettled) return;
        if (isGood(result) || open === 0) finish(result);
      });
      if (sent >= settings.mostOpen || hasBegun) return;
      cancelNext = clock.after(settings.afterMs, send);
    }

    send();
  });
}
