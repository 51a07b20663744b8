import type {Clock} from '@lilacledge/shared';

/** State of a request without any event when its endpoint crashed. */
export const Exposure = {
  /** Probably running: its response had started, or is sent as a whole at the end. */
  RUNNING: 'running',
  /** May have been running, or waiting while another request ran. */
  WAITING: 'waiting',
} as const;
export type Exposure = (typeof Exposure)[keyof typeof Exposure];

/** The crash of one incarnation of an endpoint while it had a request. */
export interface CrashReport {
  /** ID of the incarnation; the same in every process that reports the crash. */
  readonly life: string;
  readonly exposure: Exposure;
  /** Time since the crash; an age, as clocks of processes are not compared. */
  readonly agoMs: number;
  /** Time since the request was sent to the endpoint. */
  readonly sentAgoMs: number;
}

/** Everything known about one request, in the form that processes exchange. */
export interface Suspicion {
  /** Identifies content and caller; the same for every attempt. */
  readonly fingerprint: string;
  readonly ends: readonly CrashReport[];
  /** Incarnations that the request did not crash, as it has been served since. */
  readonly cleared: readonly string[];
}

/** Whether a request may be sent. */
export type CrashVerdict =
  | {readonly kind: 'free'}
  /** Endpoints crashed while they had it, perhaps by coincidence. */
  | {readonly kind: 'suspected'}
  /** It must not be sent for this long. */
  | {readonly kind: 'quarantined'; readonly forMs: number}
  /** One of all entries may send it once, to test whether it still crashes endpoints. */
  | {readonly kind: 'onTrial'};

/**
 * Evidence of a crash against a request, by its exposure. A running request is the likely
 * cause, while several may wait at one endpoint.
 */
const WEIGHTS: Readonly<Record<Exposure, number>> = {
  running: 3,
  waiting: 2,
};

/** Reached by two crashes of a running request, or three of one that may have waited. */
const QUARANTINE_WEIGHT = 6;

/** Length of the first quarantine; each failed trial doubles it. */
export const INITIAL_QUARANTINE_MS = 30_000;

/** Repairing a service takes minutes. */
export const MAX_QUARANTINE_MS = 600_000;

/** Crashes older than this are ignored. */
const RETENTION_MS = 2 * MAX_QUARANTINE_MS;

/** Requests that are kept; about 300 bytes each. */
const MAX_REQUESTS = 1_000;

/** Incarnations that are kept per request. */
const MAX_INCARNATIONS_PER_REQUEST = 32;

interface RecordedCrash {
  readonly exposure: Exposure;
  readonly atMs: number;
  readonly sentAtMs: number;
}

/** Crashes of one request by incarnation; those that are cleared do not count. */
interface RequestRecord {
  readonly ends: Map<string, RecordedCrash>;
  readonly cleared: Set<string>;
}

/**
 * Tracks requests that may crash endpoints.
 *
 * A query of death crashes each endpoint that runs it, and is retried at entries that have
 * seen none of its earlier crashes. Entries exchange grow-only sets of crashes by
 * incarnation, which converge in any order and with any duplicates. A running request is
 * quarantined after its second crash, and tried again after delays that double. The first
 * response from any endpoint clears a request of all its crashes, so that a popular request
 * is not refused for long when endpoints crash in a row or all at once.
 */
export class CrashSuspicions {
  /** By fingerprint, the most recently changed last. */
  private readonly records = new Map<string, RequestRecord>();

  constructor(private readonly clock: Pick<Clock, 'nowMs'>) {}

  /** While true, fingerprints of requests need not be computed. */
  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  get size(): number {
    return this.records.size;
  }

  /** Everything known, for a process that has just connected. */
  get all(): Suspicion[] {
    return [...this.records.keys()].map((name) => this.get(name)!);
  }

  /** What is known about a request; undefined if nothing. */
  get(fingerprint: string): Suspicion | undefined {
    const record = this.records.get(fingerprint);
    if (record === undefined) return undefined;
    const nowMs = this.clock.nowMs();
    const ends = [...record.ends].map(([life, {exposure, atMs, sentAtMs}]) => ({
      life,
      exposure,
      agoMs: nowMs - atMs,
      sentAgoMs: nowMs - sentAtMs,
    }));
    return {fingerprint, ends, cleared: [...record.cleared]};
  }

  verdict(fingerprint: string): CrashVerdict {
    const crashes = this.unclearedCrashesOf(fingerprint);
    if (crashes.length === 0) return {kind: 'free'};
    const newestMs = Math.max(...crashes.map(({atMs}) => atMs));
    const ageMs = this.clock.nowMs() - newestMs;
    if (ageMs >= RETENTION_MS) return {kind: 'free'};
    const weight = totalWeight(crashes);
    if (weight < QUARANTINE_WEIGHT) return {kind: 'suspected'};
    const forMs = quarantineMs(weight) - ageMs;
    return forMs > 0 ? {kind: 'quarantined', forMs} : {kind: 'onTrial'};
  }

  /** Records that an endpoint crashed while it had the request; false if already known. */
  noteCrash(fingerprint: string, end: CrashReport): boolean {
    return this.merge({fingerprint, ends: [end], cleared: []});
  }

  /** Clears the request of its crashes, as it was served; false if nothing changed. */
  noteServed(fingerprint: string): boolean {
    const record = this.records.get(fingerprint);
    if (record === undefined) return false;
    const cleared = [...record.ends.keys()];
    return this.merge({fingerprint, ends: [], cleared});
  }

  /** Merges what another process knows; false if nothing of it is new. */
  merge({fingerprint, ends, cleared}: Suspicion): boolean {
    const record = this.records.get(fingerprint) ?? {
      ends: new Map<string, RecordedCrash>(),
      cleared: new Set<string>(),
    };
    const newCrashes = ends.filter((end) => addsInformation(record, end));
    const newlyCleared = cleared.filter((life) => !record.cleared.has(life));
    if (newCrashes.length + newlyCleared.length === 0) return false;
    const nowMs = this.clock.nowMs();
    for (const {life, exposure, agoMs, sentAgoMs} of newCrashes) {
      const atMs = nowMs - agoMs;
      record.ends.set(life, {exposure, atMs, sentAtMs: nowMs - sentAgoMs});
    }
    for (const life of newlyCleared) record.cleared.add(life);
    evictOldest(record);
    this.records.delete(fingerprint);
    this.records.set(fingerprint, record);
    this.evict();
    return true;
  }

  private unclearedCrashesOf(fingerprint: string): RecordedCrash[] {
    const record = this.records.get(fingerprint);
    if (record === undefined) return [];
    return [...record.ends]
      .filter(([life]) => !record.cleared.has(life))
      .map(([, seen]) => seen);
  }

  /** Evicts expired records and, above the limit, first those that are not quarantined. */
  private evict(): void {
    const names = [...this.records.keys()];
    for (const name of names.filter((name) => this.isExpired(name))) {
      this.records.delete(name);
    }
    const excess = this.records.size - MAX_REQUESTS;
    if (excess <= 0) return;
    const left = [...this.records.keys()];
    const isQuarantined = (name: string): boolean =>
      ['quarantined', 'onTrial'].includes(this.verdict(name).kind);
    const dropped = [
      ...left.filter((name) => !isQuarantined(name)),
      ...left.filter(isQuarantined),
    ];
    for (const name of dropped.slice(0, excess)) this.records.delete(name);
  }

  private isExpired(fingerprint: string): boolean {
    const {ends} = this.records.get(fingerprint)!;
    const fromMs = this.clock.nowMs() - RETENTION_MS;
    return [...ends.values()].every(({atMs}) => atMs <= fromMs);
  }
}

/** False for a crash that is known, or too old to count. */
function addsInformation(
  {ends}: RequestRecord,
  {life, exposure, agoMs}: CrashReport,
): boolean {
  if (agoMs >= RETENTION_MS) return false;
  const known = ends.get(life);
  // Of two attempts at one incarnation the stronger evidence counts.
  return known === undefined || WEIGHTS[known.exposure] < WEIGHTS[exposure];
}

/**
 * The total weight of crashes. Crashes of attempts that overlap in time count once:
 * endpoints that crash together have a common cause, such as a power loss of their instance.
 */
function totalWeight(crashes: readonly RecordedCrash[]): number {
  let total = 0;
  let countedUntilMs = Number.NEGATIVE_INFINITY;
  let weight = 0;
  const byTime = [...crashes].sort((a, b) => a.atMs - b.atMs);
  for (const {exposure, atMs, sentAtMs} of byTime) {
    if (sentAtMs >= countedUntilMs) {
      total += weight;
      countedUntilMs = atMs;
      weight = 0;
    }
    weight = Math.max(weight, WEIGHTS[exposure]);
  }
  return total + weight;
}

/** Length of the quarantine after the newest crash, by total weight. */
function quarantineMs(weight: number): number {
  const failedTrials = Math.floor(
    (weight - QUARANTINE_WEIGHT) / WEIGHTS[Exposure.RUNNING],
  );
  return Math.min(MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS * 2 ** failedTrials);
}

function evictOldest({ends, cleared}: RequestRecord): void {
  for (const life of [...ends.keys()]) {
    if (ends.size <= MAX_INCARNATIONS_PER_REQUEST) break;
    ends.delete(life);
  }
  for (const life of [...cleared]) {
    if (cleared.size <= MAX_INCARNATIONS_PER_REQUEST) break;
    cleared.delete(life);
  }
}
