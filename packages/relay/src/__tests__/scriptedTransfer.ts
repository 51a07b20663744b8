import type {CancelTimer, VirtualClock} from '@lilacledge/shared';
import type {StoreChanges, StorePage, StoreReply} from '../ports.js';
import type {SlowLink} from './slowLink.js';

/** Limits of the store client on the transfer of a response body, from its head. */
const BODY_STALL_MS = 700;
const BODY_TIMEOUT_MS = 5_000;

/** What the transfer of answers is like; read when one begins and goes on. */
export interface TransferConditions {
  /** The link that transfers answers; without one a transfer takes no time. */
  readonly link: SlowLink | undefined;
  /**
   * True if a timeout ends at the head of a response, after which a body may take as long as the
   * store client allows while it makes progress; otherwise it covers the whole response.
   */
  readonly limitsBodies: boolean;
  /** Extra delay of each answer. */
  readonly responseDelayMs: number;
}

/** The transfer of a response to the caller. */
export interface Transfer {
  readonly bytes: number;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  readonly progressed?: () => void;
}

/** Resolves with an answer after its transfer, or with a timeout failure. */
export function transferAnswer<T extends StorePage | StoreChanges>(
  clock: VirtualClock,
  conditions: TransferConditions,
  value: T,
  {bytes, timeoutMs, signal, progressed}: Transfer,
  resolve: (reply: StoreReply<T>) => void,
): void {
  let cancel: CancelTimer = () => {};
  let cancelTimeout: CancelTimer = () => {};
  const abort = (): void => fail('aborted');
  const end = (): void => {
    cancel();
    cancelTimeout();
    signal?.removeEventListener('abort', abort);
  };
  const fail = (detail: string): void => {
    end();
    resolve({kind: 'unanswered', detail});
  };
  const failAfter = (delayMs: number): void => {
    cancelTimeout();
    cancelTimeout = clock.after(delayMs, () => fail('timeout'));
  };
  failAfter(timeoutMs);
  signal?.addEventListener('abort', abort);
  const onComplete = (tookMs: number): void => {
    end();
    resolve({kind: 'ok', value: {...value, transfer: {bytes, tookMs}}});
  };
  cancel = clock.after(conditions.responseDelayMs, () => {
    const untilMs = clock.nowMs() + BODY_TIMEOUT_MS;
    const onProgress = (): void => {
      progressed?.();
      if (!conditions.limitsBodies) return;
      failAfter(Math.min(BODY_STALL_MS, untilMs - clock.nowMs()));
    };
    onProgress();
    if (conditions.link === undefined) onComplete(0);
    else cancel = conditions.link.receive(bytes, {onComplete, onProgress});
  });
}
