/** Regions to which requests are bound; undefined where they are not. */
export type Homes = readonly string[] | undefined;

/**
 * True when a request may be served in a region. Route and organisation may both have
 * homes, and then both bind. A region that is not known is nobody's home: a body that
 * was sent to the wrong one cannot be taken back.
 */
export function isHome(
  region: string | undefined,
  homesOfAll: readonly Homes[],
): boolean {
  return homesOfAll.every(
    (homes) =>
      homes === undefined || (region !== undefined && homes.includes(region)),
  );
}
