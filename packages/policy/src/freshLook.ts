import type {Random} from '@lilacledge/shared';

/** Engines that are asked for their load before a prompt is sent to one of them. */
const MOST_ASKED = 4;

/** Part of the engines, the best by their last reports, that these are drawn from. */
const DRAWN_FROM_SHARE = 0.5;

/**
 * Draws the engines that are looked at afresh for one prompt, in no order. `ranked`
 * holds all that can take it, the best by their last reports first.
 *
 * Answers the pattern of a herd on one report: reports are some hundred milliseconds
 * old and all entries read the same ones, so that an engine which was empty gets the
 * prompts of all entries until the next report, most of all where reports also hold
 * something that changes slowly, as memory does. Four are drawn from the better half, and not the four best taken:
 * those are the same for all entries. It costs two messages an engine that is asked,
 * whatever the number of entries, and one way there and back.
 */
export function drawToAsk<T>(ranked: readonly T[], random: Random): T[] {
  const fromCount = Math.max(
    MOST_ASKED,
    Math.ceil(ranked.length * DRAWN_FROM_SHARE),
  );
  const pool = ranked.slice(0, fromCount);
  const drawn: T[] = [];
  while (drawn.length < MOST_ASKED && pool.length > 0) {
    const [one] = pool.splice(Math.floor(random() * pool.length), 1);
    drawn.push(one!);
  }
  return drawn;
}
