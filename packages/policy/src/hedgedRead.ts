import type {Clock} from '@lilacledge/shared';

/** When a read is repeated while earlier ones are still open. */
export interface HedgeSettings {
  /** Time without a response after which the next read is sent. */
  readonly afterMs: number;
  /** Largest total number of reads. */
  readonly maxReads: number;
}

/**
 * Resolves with the first result that `isAccepted` accepts, or with the last result if it
 * accepts none. Reads must be free of side effects, as several may be open at a time.
 *
 * Shortens the recovery from a dependency that stops responding for a while: a call
 * sent in that time never gets a response, and its timeout, sized for a slow
 * dependency, would delay the caller after the dependency is back. With a timeout of
 * 1.5 s, the delay falls from up to 1.5 s to `afterMs` plus one response time. Once a
 * response has started, no read is sent and the others are aborted: on a slow link a second
 * copy would slow both.
 */
export function hedgeRead<T>(
  read: (onResponseStarted: () => void, signal: AbortSignal) => Promise<T>,
  isAccepted: (result: T) => boolean,
  settings: HedgeSettings,
  clock: Clock,
): Promise<T> {
  return new Promise((resolve) => {
    let open = 0;
    let sent = 0;
    let isSettled = false;
    let hasResponseStarted = false;
    let cancelNext = (): void => {};
    const aborters = new Set<AbortController>();

    function finish(result: T): void {
      isSettled = true;
      cancelNext();
      resolve(result);
    }

    function onResponseStarted(started: AbortController): void {
      hasResponseStarted = true;
      cancelNext();
      for (const aborter of aborters) {
        if (aborter !== started) aborter.abort();
      }
    }

    function send(): void {
      open++;
      sent++;
      const aborter = new AbortController();
      aborters.add(aborter);
      const started = (): void => onResponseStarted(aborter);
      void read(started, aborter.signal).then((result) => {
        open--;
        aborters.delete(aborter);
        if (isSettled) return;
        if (isAccepted(result) || open === 0) finish(result);
      });
      if (sent >= settings.maxReads || hasResponseStarted) return;
      cancelNext = clock.after(settings.afterMs, send);
    }

    send();
  });
}
