import type {FakeStore} from '@lilacledge/platform-standins';
import {systemClock} from '@lilacledge/shared';
import type {Ledger} from './ledger.js';

/** The orders by which the operator of a soak evacuates zones. */
export class ZoneOrders {
  /** Number of orders so far, by zone. */
  private readonly counts = new Map<string, number>();
  private readonly evacuated = new Set<string>();

  constructor(
    private readonly store: FakeStore,
    private readonly ledger: Ledger,
  ) {}

  /** Orders the evacuation of a zone; the result withdraws the order. */
  evacuate(zone: string): () => void {
    const count = (this.counts.get(zone) ?? 0) + 1;
    this.counts.set(zone, count);
    this.evacuated.add(zone);
    this.store.put(keyOf(zone), {});
    this.note('zoneEvacuated', zone);
    return () => {
      // A later order for the zone stays active.
      if (this.counts.get(zone) !== count) return;
      this.evacuated.delete(zone);
      this.note('zoneTakenBack', zone);
      this.store.remove(keyOf(zone));
    };
  }

  /** Writes and withdraws again what a restored store has lost. */
  rewrite(): void {
    for (const zone of this.counts.keys()) {
      const key = keyOf(zone);
      if (this.evacuated.has(zone)) this.store.put(key, {});
      else if (this.store.has(key)) this.store.remove(key);
    }
  }

  private note(type: 'zoneEvacuated' | 'zoneTakenBack', zone: string): void {
    this.ledger.note({type, atMs: systemClock.nowMs(), zone});
  }
}

function keyOf(zone: string): string {
  return `op/evacuate/${zone}`;
}
