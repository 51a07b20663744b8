import {StoreMode} from '@lilacledge/platform-standins';
import type {FakeStore} from '@lilacledge/platform-standins';
import {assertNever} from '@lilacledge/shared';
import type {Fault} from './faultPlan.js';
import {StoreCopies} from './storeCopies.js';

/** Operators and endpoints write again what a restored store lost after this time. */
const REWRITE_DELAY_MS = 600;

/** A fault of the store itself. */
export type StoreFault = Extract<
  Fault,
  {
    readonly kind:
      | 'storeBusy'
      | 'storeSilent'
      | 'storeLosesAnswers'
      | 'storeCompacted'
      | 'storeDownWithLapse'
      | 'storeRestored';
  }
>;

/** Faults of the store of one soak. */
export class StoreFaults {
  private readonly copies: StoreCopies;

  constructor(
    private readonly store: FakeStore,
    /** Writes again what a restored store has lost. */
    private readonly rewriteLost: () => void,
  ) {
    this.copies = new StoreCopies(store);
  }

  /** Starts a fault; returns the function that ends it, or undefined if it ends by itself. */
  start(fault: StoreFault): (() => void) | undefined {
    switch (fault.kind) {
      case 'storeBusy':
        return this.setMode(StoreMode.BUSY);
      case 'storeSilent':
        return this.setMode(StoreMode.SILENT);
      case 'storeLosesAnswers':
        return this.setMode(StoreMode.LOSES_ANSWERS);
      case 'storeCompacted':
        this.store.compact();
        return undefined;
      case 'storeDownWithLapse':
        this.store.lapseLeases();
        return this.setMode(StoreMode.RESET);
      case 'storeRestored':
        return this.restore(fault.copyAgeMs);
      default:
        return assertNever(fault);
    }
  }

  stop(): void {
    this.copies.stop();
  }

  /** Makes the store unavailable; the result brings it back from an older copy. */
  private restore(copyAgeMs: number): () => void {
    const copy = this.copies.atAge(copyAgeMs);
    const endOutage = this.setMode(StoreMode.RESET);
    return () => {
      this.store.restore(copy);
      endOutage();
      setTimeout(this.rewriteLost, REWRITE_DELAY_MS);
    };
  }

  private setMode(mode: StoreMode): () => void {
    this.store.mode = mode;
    return () => {
      // A later fault of the store stays active.
      if (this.store.mode === mode) this.store.mode = StoreMode.NORMAL;
    };
  }
}
