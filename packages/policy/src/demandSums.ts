import type {DemandUse} from './sharedDemand.js';

/** Less than any use: what rounding leaves of sums is no use. */
const MIN_TOKENS = 0.5;

/**
 * Sums of the use of many entries by organisation. Kept up to date with each report, because
 * a queue needs them hundreds of times per second.
 */
export class DemandSums {
  private readonly byOrganisation = new Map<string, DemandUse>();

  add(uses: readonly DemandUse[]): void {
    for (const use of uses) this.change(use, 1);
  }

  subtract(uses: readonly DemandUse[]): void {
    for (const use of uses) this.change(use, -1);
  }

  all(): Iterable<DemandUse> {
    return this.byOrganisation.values();
  }

  private change([name, ...tokens]: DemandUse, sign: 1 | -1): void {
    const [, ...known] = this.byOrganisation.get(name) ?? [name, 0, 0, 0];
    const [used, urgent, other] = known;
    const sums = [
      used + sign * tokens[0],
      urgent + sign * tokens[1],
      other + sign * tokens[2],
    ] as const;
    if (sums.every((sum) => sum < MIN_TOKENS)) this.byOrganisation.delete(name);
    else this.byOrganisation.set(name, [name, ...sums]);
  }
}
