import type {StoreChange, StoreItem} from '../ports.js';

/** Bytes of an answer, and of each item in it, beyond the values. */
const ENVELOPE_BYTES = 150;

/** Size of an answer with these items; values are encoded in base64. */
export function bytesOf(items: readonly StoreItem[]): number {
  const values = items.map(
    ({value}) => ENVELOPE_BYTES + (value.length * 4) / 3,
  );
  return values.reduce((sum, bytes) => sum + bytes, ENVELOPE_BYTES);
}

export function keyOf(change: StoreChange): string {
  return change.kind === 'written' ? change.item.key : change.key;
}

export function revisionOf(change: StoreChange): number {
  return change.kind === 'written' ? change.item.revision : change.revision;
}
