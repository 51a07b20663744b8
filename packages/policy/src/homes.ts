/** Regions in which requests may be served; undefined if not restricted. */
export type AllowedRegions = readonly string[] | undefined;

/**
 * Whether a request may be served in a region. If both route and organisation restrict the
 * regions, both restrictions apply. An unknown region is not allowed under any restriction,
 * as a body sent to the wrong region cannot be recalled.
 */
export function isAllowedRegion(
  region: string | undefined,
  restrictions: readonly AllowedRegions[],
): boolean {
  return restrictions.every(
    (allowed) =>
      allowed === undefined ||
      (region !== undefined && allowed.includes(region)),
  );
}
