import type {StoreChange, StoreItem} from '../ports.js';
import type {ApplyItem, PrefixHandler} from './storeWatcher.js';

/** What is kept of an item of a list. */
export type KeptItem =
  | {readonly kind: 'config'; readonly item: StoreItem}
  | {readonly kind: 'shared'; readonly apply: ApplyItem};

/** Picks, from responses about the configuration, what the prefix that shares its calls is told. */
export class SharedPrefix {
  /**
   * @param configKey key of the configuration.
   * @param handler undefined if no prefix shares the calls.
   */
  constructor(
    private readonly configKey: string,
    private readonly handler: PrefixHandler | undefined,
  ) {}

  /** Delivers the changes below the prefix; the handler learns the revision in any case. */
  deliverChanges(
    changes: readonly StoreChange[],
    revision: number,
    asOfMs: number,
    sentMs: number,
  ): void {
    const {handler} = this;
    if (handler === undefined) return;
    for (const change of changes) {
      if (!keyOf(change).startsWith(handler.prefix)) continue;
      if (change.kind === 'written') handler.read(change.item)(asOfMs);
      else handler.deleted(change.key, asOfMs, change.revision);
    }
    handler.caughtUp?.(revision, sentMs);
  }

  /** What the end of a list needs of an item. */
  keep(item: StoreItem): KeptItem | undefined {
    const {handler} = this;
    if (item.key === this.configKey) return {kind: 'config', item};
    if (handler === undefined) return undefined;
    if (!item.key.startsWith(handler.prefix)) return undefined;
    return {kind: 'shared', apply: handler.read(item)};
  }

  /** Delivers what was kept of a list, and which keys below the prefix it had. */
  deliverList(
    kept: readonly KeptItem[],
    keys: ReadonlySet<string>,
    revision: number,
    asOfMs: number,
  ): void {
    const {handler} = this;
    if (handler === undefined) return;
    const isBelow = (key: string): boolean => key.startsWith(handler.prefix);
    for (const part of kept) {
      if (part.kind === 'shared') part.apply(asOfMs);
    }
    handler.listed?.(new Set([...keys].filter(isBelow)), revision);
  }
}

/** Key of the item that a change is about. */
export function keyOf(change: StoreChange): string {
  return change.kind === 'written' ? change.item.key : change.key;
}
