import type {FakeStore, StoreCopy} from '@lilacledge/platform-standins';
import {systemClock} from '@lilacledge/shared';
import {MAX_COPY_AGE_MS} from './restoreFaults.js';

/** Interval at which the store is copied. */
const COPY_INTERVAL_MS = 250;

/** Copies of the store at regular intervals, from which it can be restored. */
export class StoreCopies {
  private copies: Array<{readonly atMs: number; readonly copy: StoreCopy}> = [];
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly store: FakeStore) {
    this.timer = setInterval(() => this.add(), COPY_INTERVAL_MS);
    this.add();
  }

  /** The youngest copy of at least that age, or the oldest one. */
  atAge(ageMs: number): StoreCopy {
    const latestMs = systemClock.nowMs() - ageMs;
    const old = this.copies.filter(({atMs}) => atMs <= latestMs);
    return (old.at(-1) ?? this.copies[0]!).copy;
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private add(): void {
    const atMs = systemClock.nowMs();
    this.copies.push({atMs, copy: this.store.copy()});
    const keptSinceMs = atMs - MAX_COPY_AGE_MS - COPY_INTERVAL_MS;
    this.copies = this.copies.filter((one) => one.atMs >= keptSinceMs);
  }
}
