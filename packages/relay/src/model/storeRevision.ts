/**
 * Revisions of the metadata store that stay in order when the store is restored.
 *
 * The store counts its changes. When it is restored from an older copy, the count goes back and
 * its numbers are given out again for other changes, while its era rises. A revision of this
 * module combines both into one number, so that a later revision is always the greater one.
 */

/** Changes that fit into one era. */
const CHANGES_PER_ERA = 2 ** 40;

/** Eras for which all revisions are safe integers. */
const MAX_ERA = 2 ** 13 - 1;

/** Combines an era and the store's own count; undefined if one of them is out of range. */
export function toRevision(era: number, count: number): number | undefined {
  const isValid =
    isIntegerBelow(era, MAX_ERA + 1) && isIntegerBelow(count, CHANGES_PER_ERA);
  return isValid ? era * CHANGES_PER_ERA + count : undefined;
}

/** The era in which a revision was given out. */
export function eraOf(revision: number): number {
  return Math.floor(revision / CHANGES_PER_ERA);
}

/** The store's own count within the era. */
export function countInEra(revision: number): number {
  return revision % CHANGES_PER_ERA;
}

/** True if the store was not restored between two revisions. */
export function isSameEra(first: number, second: number): boolean {
  return eraOf(first) === eraOf(second);
}

function isIntegerBelow(value: number, limit: number): boolean {
  return Number.isInteger(value) && value >= 0 && value < limit;
}
