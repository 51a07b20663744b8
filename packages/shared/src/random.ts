/** A source of numbers in [0, 1). */
export type Random = () => number;

/** No randomness: always the middle of the range. */
export const middleOfRange: Random = () => 0.5;

/** A small seeded generator (mulberry32): the same seed, the same numbers. */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** FNV-1a over UTF-16 units, finished with a mixer; for rendezvous weights. */
export function hash32(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Orders `candidates` by rendezvous weight for `key`, highest first. */
export function rendezvous(
  key: string,
  candidates: readonly string[],
): string[] {
  const weighed = candidates.map((id) => ({
    id,
    weight: hash32(`${id}|${key}`),
  }));
  weighed.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
  return weighed.map((candidate) => candidate.id);
}
