import type {Random} from '@lilacledge/shared';

/** Engines that are queried for their load before a prompt is sent to one of them. */
const SAMPLE_SIZE = 4;

/** Share of the engines, the best by their last reports, that the sample is from. */
const CANDIDATE_SHARE = 0.5;

/**
 * Draws the engines that are queried for their current load before a prompt is sent,
 * in random order. `ranked` holds all eligible engines, the best by their last load
 * reports first.
 *
 * Prevents herding: reports are some hundred milliseconds old and the same for all
 * entries, so an idle engine would get the prompts of all entries until its next
 * report. The effect is strongest if reports include a value that changes slowly, such
 * as memory use. The sample is drawn from the better half instead of taking the four
 * best, which are the same for all entries. The cost is two messages for each queried
 * engine, whatever the number of entries, and one round trip.
 */
export function sampleForLoadQuery<T>(
  ranked: readonly T[],
  random: Random,
): T[] {
  const candidateCount = Math.max(
    SAMPLE_SIZE,
    Math.ceil(ranked.length * CANDIDATE_SHARE),
  );
  const pool = ranked.slice(0, candidateCount);
  const sample: T[] = [];
  while (sample.length < SAMPLE_SIZE && pool.length > 0) {
    const [engine] = pool.splice(Math.floor(random() * pool.length), 1);
    sample.push(engine!);
  }
  return sample;
}
