/** Returns a number in [0, 1). */
export type Random = () => number;

/** Always the middle of the range, for callers that switch randomness off. */
export const alwaysHalf: Random = () => 0.5;

/** A seeded generator (mulberry32): the same seed gives the same numbers. */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** FNV-1a over UTF-16 code units with the MurmurHash3 finalizer; not cryptographic. */
export function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Orders `candidates` for `key` by rendezvous hashing, highest weight first. */
export function rendezvous(
  key: string,
  candidates: readonly string[],
): string[] {
  const weighted = candidates.map((id) => ({
    id,
    weight: hash32(`${id}|${key}`),
  }));
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
  return weighted.map((candidate) => candidate.id);
}
