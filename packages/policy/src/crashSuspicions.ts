import type {Clock} from '@lilacledge/shared';

/** What can be told of a request that had sent nothing when the life of its endpoint ended. */
export const Exposure = {
  /** It ran, as far as can be seen: its answer had begun, or comes whole at the end. */
  RUNNING: 'running',
  /** It may have run, or have waited while another one did. */
  WAITING: 'waiting',
} as const;
export type Exposure = (typeof Exposure)[keyof typeof Exposure];

/** The end of one life of an endpoint under a request. */
export interface CrashEnd {
  /** Names the life, at whichever process it was seen. */
  readonly life: string;
  readonly exposure: Exposure;
  /** How long ago it was: processes' clocks are not compared. */
  readonly agoMs: number;
  /** How long ago the request had been sent there. */
  readonly sentAgoMs: number;
}

/** What is known of one request, as processes tell one another. */
export interface Suspicion {
  /** Names what is asked, by whom, whichever attempt it is. */
  readonly fingerprint: string;
  readonly ends: readonly CrashEnd[];
  /** Lives whose end is no fault of the request: it has been served since. */
  readonly cleared: readonly string[];
}

/** Whether a request may be sent. */
export type CrashVerdict =
  | {readonly kind: 'free'}
  /** Endpoints ended under it, which may have been by chance. */
  | {readonly kind: 'suspected'}
  /** It is sent nowhere for this long. */
  | {readonly kind: 'quarantined'; readonly forMs: number}
  /** One of all entries may send it once, to see whether it still ends endpoints. */
  | {readonly kind: 'onTrial'};

/**
 * How much an end says against a request. One that had just begun to run is the likely
 * cause; several may wait at one endpoint.
 */
const WEIGHTS: Readonly<Record<Exposure, number>> = {
  running: 3,
  waiting: 2,
};

/** Two ends under a request that ran, or three under one that may have waited. */
const QUARANTINE_WEIGHT = 6;

/** How long after the deciding end nothing is sent; each trial that fails doubles it. */
export const FIRST_QUARANTINE_MS = 30_000;

/** What mends a service takes minutes. */
export const LONGEST_QUARANTINE_MS = 600_000;

/** From then on as if nothing had been. */
const FORGOTTEN_MS = 2 * LONGEST_QUARANTINE_MS;

/** Requests that are remembered: some 300 bytes each. */
const MOST_REQUESTS = 1_000;

/** Lives that are remembered of one request. */
const MOST_LIVES = 32;

interface Seen {
  readonly exposure: Exposure;
  readonly atMs: number;
  readonly sentMs: number;
}

/** Ends under one request by life; those that are cleared count no more. */
interface KnownRequest {
  readonly ends: Map<string, Seen>;
  readonly cleared: Set<string>;
}

/**
 * The requests under which endpoints have ended.
 *
 * Answers the pattern of a query of death: a request ends each endpoint that runs it, and
 * comes again at entries that have seen none of its earlier ends. What entries know is a set
 * of ends by life, which only grows, and so comes out the same in whatever order and however
 * often it is told. A request is given up after its second end, and tried again after pauses
 * that double. An innocent one, which was there by chance, is cleared by its first answer
 * from anywhere: endpoints that end in a row, or all at once, under a question that many ask
 * make nobody guilty for long.
 */
export class CrashSuspicions {
  /** Those that changed last come last. */
  private readonly records = new Map<string, KnownRequest>();

  constructor(private readonly clock: Pick<Clock, 'nowMs'>) {}

  /** True while no request is remembered, so that none needs a fingerprint. */
  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  get size(): number {
    return this.records.size;
  }

  /** All that is known, for a process that has just come. */
  get all(): Suspicion[] {
    return [...this.records.keys()].map((name) => this.get(name)!);
  }

  /** What is known of a request; undefined when nothing is. */
  get(fingerprint: string): Suspicion | undefined {
    const record = this.records.get(fingerprint);
    if (record === undefined) return undefined;
    const nowMs = this.clock.nowMs();
    const ends = [...record.ends].map(([life, {exposure, atMs, sentMs}]) => ({
      life,
      exposure,
      agoMs: nowMs - atMs,
      sentAgoMs: nowMs - sentMs,
    }));
    return {fingerprint, ends, cleared: [...record.cleared]};
  }

  verdict(fingerprint: string): CrashVerdict {
    const counted = this.counted(fingerprint);
    if (counted.length === 0) return {kind: 'free'};
    const newestMs = Math.max(...counted.map(({atMs}) => atMs));
    const ageMs = this.clock.nowMs() - newestMs;
    if (ageMs >= FORGOTTEN_MS) return {kind: 'free'};
    const weight = weightOf(counted);
    if (weight < QUARANTINE_WEIGHT) return {kind: 'suspected'};
    const forMs = quarantineMs(weight) - ageMs;
    return forMs > 0 ? {kind: 'quarantined', forMs} : {kind: 'onTrial'};
  }

  /** An endpoint ended under the request; false when that was known. */
  noteEnd(fingerprint: string, end: CrashEnd): boolean {
    return this.merge({fingerprint, ends: [end], cleared: []});
  }

  /** The request was served: what ended under it did not end by it. */
  noteServed(fingerprint: string): boolean {
    const record = this.records.get(fingerprint);
    if (record === undefined) return false;
    const cleared = [...record.ends.keys()];
    return this.merge({fingerprint, ends: [], cleared});
  }

  /** Takes what another process knows; false when nothing of it is new. */
  merge({fingerprint, ends, cleared}: Suspicion): boolean {
    const record = this.records.get(fingerprint) ?? {
      ends: new Map<string, Seen>(),
      cleared: new Set<string>(),
    };
    const newEnds = ends.filter((end) => isNews(record, end));
    const newlyCleared = cleared.filter((life) => !record.cleared.has(life));
    if (newEnds.length + newlyCleared.length === 0) return false;
    const nowMs = this.clock.nowMs();
    for (const {life, exposure, agoMs, sentAgoMs} of newEnds) {
      const atMs = nowMs - agoMs;
      record.ends.set(life, {exposure, atMs, sentMs: nowMs - sentAgoMs});
    }
    for (const life of newlyCleared) record.cleared.add(life);
    forgetOldest(record);
    this.records.delete(fingerprint);
    this.records.set(fingerprint, record);
    this.forget();
    return true;
  }

  private counted(fingerprint: string): Seen[] {
    const record = this.records.get(fingerprint);
    if (record === undefined) return [];
    return [...record.ends]
      .filter(([life]) => !record.cleared.has(life))
      .map(([, seen]) => seen);
  }

  /** Drops what is over, and where too much is known what says least. */
  private forget(): void {
    const names = [...this.records.keys()];
    for (const name of names.filter((each) => this.isOver(each))) {
      this.records.delete(name);
    }
    const excess = this.records.size - MOST_REQUESTS;
    if (excess <= 0) return;
    const left = [...this.records.keys()];
    const isKept = (name: string): boolean =>
      ['quarantined', 'onTrial'].includes(this.verdict(name).kind);
    const dropped = [
      ...left.filter((name) => !isKept(name)),
      ...left.filter(isKept),
    ];
    for (const name of dropped.slice(0, excess)) this.records.delete(name);
  }

  private isOver(fingerprint: string): boolean {
    const {ends} = this.records.get(fingerprint)!;
    const fromMs = this.clock.nowMs() - FORGOTTEN_MS;
    return [...ends.values()].every(({atMs}) => atMs <= fromMs);
  }
}

/** False for an end that is known, or so old that it no longer counts. */
function isNews(
  {ends}: KnownRequest,
  {life, exposure, agoMs}: CrashEnd,
): boolean {
  if (agoMs >= FORGOTTEN_MS) return false;
  const known = ends.get(life);
  // Of two attempts at one endpoint the one that says more counts.
  return known === undefined || WEIGHTS[known.exposure] < WEIGHTS[exposure];
}

/**
 * The weight of some ends. Those of sends that were open at the same time count once:
 * endpoints that end together have one cause, such as an instance that loses its power.
 */
function weightOf(ends: readonly Seen[]): number {
  let total = 0;
  let countedUntilMs = Number.NEGATIVE_INFINITY;
  let weight = 0;
  const inOrder = [...ends].sort((a, b) => a.atMs - b.atMs);
  for (const {exposure, atMs, sentMs} of inOrder) {
    if (sentMs >= countedUntilMs) {
      total += weight;
      countedUntilMs = atMs;
      weight = 0;
    }
    weight = Math.max(weight, WEIGHTS[exposure]);
  }
  return total + weight;
}

/** How long a request of this weight is sent nowhere after its newest end. */
function quarantineMs(weight: number): number {
  const failedTrials = Math.floor(
    (weight - QUARANTINE_WEIGHT) / WEIGHTS[Exposure.RUNNING],
  );
  return Math.min(
    LONGEST_QUARANTINE_MS,
    FIRST_QUARANTINE_MS * 2 ** failedTrials,
  );
}

function forgetOldest({ends, cleared}: KnownRequest): void {
  for (const life of [...ends.keys()]) {
    if (ends.size <= MOST_LIVES) break;
    ends.delete(life);
  }
  for (const life of [...cleared]) {
    if (cleared.size <= MOST_LIVES) break;
    cleared.delete(life);
  }
}
