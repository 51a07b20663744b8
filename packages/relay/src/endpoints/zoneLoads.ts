/**
 * Mean load of a service's engines in one availability zone, as reported by the entries
 * of that zone, which its sidecars report to, to the entries of other zones.
 */
export interface ZoneLoad {
  readonly service: string;
  readonly zone: string;
  readonly usedTokens: number;
  /** Prompt tokens that wait for prefill. */
  readonly backlogTokens: number;
  /** The part that is processed before a new urgent prompt; undefined if unknown. */
  readonly urgentBacklogTokens?: number;
}

/** Older loads are ignored. */
const MAX_AGE_MS = 2_000;

interface ReceivedLoad {
  readonly load: ZoneLoad;
  readonly atMs: number;
}

/** The newest load of each service and zone received from peers. */
export class ZoneLoads {
  private readonly newest = new Map<string, ReceivedLoad>();

  note(load: ZoneLoad, nowMs: number): void {
    this.newest.set(keyOf(load.service, load.zone), {load, atMs: nowMs});
  }

  get(service: string, zone: string, nowMs: number): ZoneLoad | undefined {
    const last = this.newest.get(keyOf(service, zone));
    if (last === undefined || nowMs - last.atMs > MAX_AGE_MS) return undefined;
    return last.load;
  }
}

function keyOf(service: string, zone: string): string {
  return `${service} ${zone}`;
}
