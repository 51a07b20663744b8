import {createRandom, hash32} from '@lilacledge/shared';

const LENGTH_MARKER = /\[\[output=(\d+)\]\]/;
const MEDIAN_TOKENS = 60;
const LOG_SIGMA = 1.1;

/**
 * Returns the output length of a prompt in tokens. A marker in the prompt sets
 * it, as replayed traces do; other prompts get a log-normal length that depends
 * only on their text. Only the stand-in reads the marker, because the product
 * must not know output lengths in advance.
 */
export function outputLength(prompt: string): number {
  const marker = LENGTH_MARKER.exec(prompt);
  if (marker !== null) return Number(marker[1]);
  const random = createRandom(hash32(prompt));
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.max(1, Math.round(MEDIAN_TOKENS * Math.exp(LOG_SIGMA * normal)));
}
