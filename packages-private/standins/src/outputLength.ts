import {createRandom, hash32} from '@lilacledge/shared';

const MARKER = /\[\[output=(\d+)\]\]/;
const MEDIAN_TOKENS = 60;
const SPREAD = 1.1;

/**
 * The length of the answer to a prompt. A marker sets it, as traces do; other
 * prompts get a heavy-tailed length that depends on their text alone. Only the
 * stand-in reads the marker: the product must not know lengths ahead.
 */
export function outputLength(prompt: string): number {
  const marker = MARKER.exec(prompt);
  if (marker !== null) return Number(marker[1]);
  const random = createRandom(hash32(prompt));
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.max(1, Math.round(MEDIAN_TOKENS * Math.exp(SPREAD * normal)));
}
