/** The memory that one organisation uses and waits for, over all entries. */
export interface OrganisationUse {
  /** Engine memory of its runs. */
  readonly usedTokens: number;
  /** Engine memory that its waiting requests need. */
  readonly waitingTokens: number;
  /** Its share in relation to the others'; 1 if absent. */
  readonly weight?: number;
}

/** A waiting request, as seen by the division among organisations. */
export interface SharingRequest {
  /** Undefined for callers without an organisation, whose requests are never set back. */
  readonly organisation?: string;
  readonly tokens: number;
}

/**
 * Longest time for which a request above its share leaves free room to others: three
 * rechecks of a queue. Requests at other entries that can use the room have taken it by then;
 * the others may not be allowed there, or their entry may have ended.
 */
const MAX_HOLD_MS = 120;

/** Room that a request above its share finds. */
export interface FoundRoom {
  /** Requests of this size that have room now. */
  readonly places: number;
  /** For how long there has been room without interruption. */
  readonly foundForMs: number;
  readonly needTokens: number;
  /** Memory that is owed to organisations below their shares, at other entries. */
  readonly owedTokens: number;
}

/** Whether a request above its share leaves the room that it finds to others. */
export function leavesRoom(found: FoundRoom): boolean {
  const {places, foundForMs, needTokens, owedTokens: owed} = found;
  return foundForMs < MAX_HOLD_MS && places <= owed / needTokens;
}

/**
 * Divides the memory in use by the organisations that have waiting requests among them, by
 * water-filling: none gets more than it asks for, and what it leaves is divided among the
 * others by weight. Returns the fair share of each in tokens.
 */
export function fairShares(
  uses: ReadonlyMap<string, OrganisationUse>,
): Map<string, number> {
  const competing = [...uses]
    .filter(([, {waitingTokens}]) => waitingTokens > 0)
    .map(([name, use]) => ({
      name,
      weight: use.weight ?? 1,
      demandTokens: use.usedTokens + use.waitingTokens,
      usedTokens: use.usedTokens,
    }));
  competing.sort(
    (a, b) => a.demandTokens / a.weight - b.demandTokens / b.weight,
  );
  let leftTokens = sumOf(competing, ({usedTokens}) => usedTokens);
  let leftWeight = sumOf(competing, ({weight}) => weight);
  const shares = new Map<string, number>();
  for (const {name, weight, demandTokens} of competing) {
    const equalTokens = (leftTokens * weight) / leftWeight;
    const shareTokens = Math.min(demandTokens, equalTokens);
    shares.set(name, shareTokens);
    leftTokens -= shareTokens;
    leftWeight -= weight;
  }
  return shares;
}

/**
 * Tells of each waiting request whether it exceeds the fair share of its organisation.
 * `waiting` has the order in which requests get room without shares; each request counts
 * for the later ones of its organisation as if it had been admitted. Otherwise one whose use
 * is low would get all of the room at once.
 */
export function areAboveShare(
  waiting: readonly SharingRequest[],
  uses: ReadonlyMap<string, OrganisationUse>,
): boolean[] {
  const shares = fairShares(uses);
  const usedTokens = new Map<string, number>();
  return waiting.map(({organisation, tokens}) => {
    if (organisation === undefined) return false;
    const used =
      usedTokens.get(organisation) ?? uses.get(organisation)?.usedTokens ?? 0;
    usedTokens.set(organisation, used + tokens);
    return used > (shares.get(organisation) ?? Infinity);
  });
}

/** Number of organisations with waiting requests whose use exceeds their fair share. */
export function countAboveShare(
  uses: ReadonlyMap<string, OrganisationUse>,
): number {
  let count = 0;
  for (const [name, shareTokens] of fairShares(uses)) {
    if ((uses.get(name)?.usedTokens ?? 0) > shareTokens) count++;
  }
  return count;
}

/**
 * Memory that waiting requests need to bring their organisations up to their fair shares.
 * Requests above their share leave this much room free, because requests below it may wait
 * at other entries, whose order this entry does not see.
 */
export function owedTokens(uses: ReadonlyMap<string, OrganisationUse>): number {
  return sumOf([...fairShares(uses)], ([name, shareTokens]) =>
    Math.max(0, shareTokens - (uses.get(name)?.usedTokens ?? 0)),
  );
}

function sumOf<T>(items: readonly T[], amountOf: (item: T) => number): number {
  return items.reduce((sum, item) => sum + amountOf(item), 0);
}
