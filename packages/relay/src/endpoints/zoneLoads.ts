/**
 * Mean load of a service's engines in one availability zone: what the entries of
 * that zone, to which its sidecars report, tell those of others.
 */
export interface ZoneLoad {
  readonly service: string;
  readonly zone: string;
  readonly usedTokens: number;
  /** Prompt tokens that wait to be read. */
  readonly backlogTokens: number;
}

/** A load that was told this long ago says nothing any more. */
const USABLE_MS = 2_000;

interface Told {
  readonly load: ZoneLoad;
  readonly atMs: number;
}

/** The newest load of each zone that peers told of. */
export class ZoneLoads {
  private readonly told = new Map<string, Told>();

  note(load: ZoneLoad, nowMs: number): void {
    this.told.set(keyOf(load.service, load.zone), {load, atMs: nowMs});
  }

  get(service: string, zone: string, nowMs: number): ZoneLoad | undefined {
    const told = this.told.get(keyOf(service, zone));
    if (told === undefined || nowMs - told.atMs > USABLE_MS) return undefined;
    return told.load;
  }
}

function keyOf(service: string, zone: string): string {
  return `${service} ${zone}`;
}
