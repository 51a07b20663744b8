import type {VirtualClock} from '@lilacledge/shared';
import type {StoreChanges, StoreReply} from '../ports.js';
import {bytesOf} from './scriptedChanges.js';
import type {ScriptedContents} from './scriptedContents.js';
import type {Transfer} from './scriptedTransfer.js';

/** Network round trip plus the store's processing time. */
export const ROUND_TRIP_MS = 4;

/** Client timeout of a watch beyond the time that it waits. */
export const WATCH_MARGIN_MS = 700;

/** A watch as the process under test asks for it. */
export interface WatchCall {
  readonly prefix: string;
  readonly afterRevision: number;
  readonly waitMs: number;
  readonly signal: AbortSignal;
  readonly progressed: (() => void) | undefined;
}

/** How watches are answered. */
export interface WatchAnswers {
  /** Transfers changes to the caller. */
  deliver(
    value: StoreChanges,
    transfer: Transfer,
    resolve: (reply: StoreReply<StoreChanges>) => void,
  ): void;
  /** Called when a caller is told that the changes since its revision aren't known. */
  onUnknown(): void;
}

/** A watch that the store has not answered yet. */
interface OpenWatch {
  readonly prefix: string;
  readonly afterRevision: number;
  readonly settle: (reply: StoreReply<StoreChanges>) => void;
  /** When the call reaches the store. */
  readonly arrivesAtMs: number;
  /** True if the watch gets no more answers although its connection stays open. */
  isStalled: boolean;
}

/** The watches that wait for changes of a simulated store. */
export class ScriptedWatches {
  private readonly watches = new Set<OpenWatch>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly contents: ScriptedContents,
    private readonly answers: WatchAnswers,
  ) {}

  open(call: WatchCall): Promise<StoreReply<StoreChanges>> {
    const {prefix, afterRevision, waitMs, signal, progressed} = call;
    return new Promise((resolve) => {
      const watch: OpenWatch = {
        prefix,
        afterRevision,
        isStalled: false,
        arrivesAtMs: this.clock.nowMs() + ROUND_TRIP_MS,
        settle: (reply) => {
          if (!this.watches.delete(watch)) return;
          signal.removeEventListener('abort', abort);
          if (reply.kind !== 'ok') {
            resolve(reply);
            return;
          }
          const items = reply.value.changes.flatMap((change) =>
            change.kind === 'written' ? [change.item] : [],
          );
          const leftMs =
            watch.arrivesAtMs + waitMs + WATCH_MARGIN_MS - this.clock.nowMs();
          const bytes = bytesOf(items);
          const transfer = {bytes, timeoutMs: leftMs, signal, progressed};
          this.answers.deliver(reply.value, transfer, resolve);
        },
      };
      const abort = (): void => {
        watch.settle({kind: 'unanswered', detail: 'aborted'});
      };
      this.watches.add(watch);
      this.clock.after(ROUND_TRIP_MS, () => this.answerWatch(watch, false));
      this.clock.after(ROUND_TRIP_MS + waitMs, () => {
        this.answerWatch(watch, true);
      });
      this.clock.after(waitMs + WATCH_MARGIN_MS, () => {
        if (!this.watches.has(watch)) return;
        watch.settle({kind: 'unanswered', detail: 'timeout'});
      });
      signal.addEventListener('abort', abort);
    });
  }

  /** Resets the connections of the waiting watches; new watches work. */
  reset(): void {
    const nowMs = this.clock.nowMs();
    const waiting = [...this.watches].filter(
      ({arrivesAtMs: waitsFromMs}) => waitsFromMs <= nowMs,
    );
    for (const watch of waiting) {
      watch.settle({kind: 'unanswered', detail: 'connection reset'});
    }
  }

  /** Stalls the waiting watches: they get no more answers, while new calls work. */
  stall(): void {
    for (const watch of this.watches) watch.isStalled = true;
  }

  /** Answers the watches to which the latest change is of interest. */
  notify(): void {
    this.clock.after(ROUND_TRIP_MS, () => {
      for (const watch of [...this.watches]) this.answerWatch(watch, false);
    });
  }

  private answerWatch(watch: OpenWatch, isOver: boolean): void {
    if (watch.isStalled || !this.watches.has(watch)) return;
    const {prefix, afterRevision} = watch;
    const changes = this.contents.changesAfter(prefix, afterRevision);
    if (changes === undefined) {
      this.answers.onUnknown();
      watch.settle({kind: 'compacted'});
      return;
    }
    if (changes.length === 0 && !isOver) return;
    const {revision} = this.contents;
    watch.settle({
      kind: 'ok',
      value: {changes, revision, transfer: {bytes: 0, tookMs: 0}},
    });
  }
}
