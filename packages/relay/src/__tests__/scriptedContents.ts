import {countInEra, eraOf, toRevision} from '../model/index.js';
import type {StoreChange, StoreItem} from '../ports.js';
import {keyOf, revisionOf} from './scriptedChanges.js';

/** The state of the store at one moment, from which it can be restored. */
export interface ScriptedCopy {
  readonly count: number;
  readonly compactedCount: number;
  readonly items: ReadonlyMap<string, StoreItem>;
  readonly changes: readonly StoreChange[];
}

/** What a simulated store holds: its items, and the changes that watches can be told. */
export class ScriptedContents {
  private currentEra = 1;
  /** Changes so far. */
  private count = 1;
  private readonly items = new Map<string, StoreItem>();
  private changes: StoreChange[] = [];
  private compactedCount = 0;

  /** Raised by each restore. */
  get era(): number {
    return this.currentEra;
  }

  get revision(): number {
    return toRevision(this.era, this.count)!;
  }

  write(key: string, text: string): void {
    this.count++;
    const {revision} = this;
    const item: StoreItem = {key, value: Buffer.from(text), revision};
    this.items.set(key, item);
    this.changes.push({kind: 'written', item});
  }

  erase(key: string): void {
    this.items.delete(key);
    this.count++;
    this.changes.push({kind: 'deleted', key, revision: this.revision});
  }

  itemsBelow(prefix: string): StoreItem[] {
    return [...this.items.values()].filter(({key}) => key.startsWith(prefix));
  }

  /** The changes since a revision; undefined if they aren't known. */
  changesAfter(prefix: string, revision: number): StoreChange[] | undefined {
    const afterCount = countInEra(revision);
    const isUnknown =
      afterCount < this.compactedCount || afterCount > this.count;
    if (isUnknown || eraOf(revision) !== this.era) return undefined;
    return this.changes.filter(
      (change) =>
        keyOf(change).startsWith(prefix) && revisionOf(change) > revision,
    );
  }

  /** Discards the history. */
  compact(): void {
    this.compactedCount = this.count;
    this.changes = [];
  }

  copy(): ScriptedCopy {
    const {count, compactedCount} = this;
    return {
      count,
      compactedCount,
      items: new Map(this.items),
      changes: [...this.changes],
    };
  }

  /**
   * Returns to the state of a copy, so that what was written since is lost and counts of changes
   * are given out again.
   */
  restore(copy: ScriptedCopy): void {
    this.currentEra++;
    this.count = copy.count;
    this.compactedCount = copy.compactedCount;
    this.items.clear();
    for (const item of copy.items.values()) {
      this.items.set(item.key, this.ofThisEra(item));
    }
    this.changes = copy.changes.map((change) =>
      change.kind === 'written'
        ? {kind: 'written', item: this.ofThisEra(change.item)}
        : this.ofThisEra(change),
    );
  }

  private ofThisEra<T extends {readonly revision: number}>(written: T): T {
    const revision = toRevision(this.era, countInEra(written.revision))!;
    return {...written, revision};
  }
}
