/** Requirements on requests that crash each engine that begins to run them. */
export interface DeadlyRule {
  readonly subject: string;
  /** Crashes after which all entries have `PROPAGATION_MS` to refuse such requests. */
  readonly toleratedCrashes: number;
  /** Time after the last of them from which on hardly any may reach an endpoint. */
  readonly refusedAfterMs: number;
}

/** Time until every entry must refuse such requests. */
const PROPAGATION_MS = 3_000;

/** One request that comes again. */
export const DEADLY_REQUEST: DeadlyRule = {
  subject: 'request',
  toleratedCrashes: 3,
  refusedAfterMs: PROPAGATION_MS,
};

/** Requests that have a part of their prompts in common. */
export const DEADLY_PART: DeadlyRule = {
  subject: 'part',
  toleratedCrashes: 5,
  refusedAfterMs: PROPAGATION_MS,
};

/** The requirements tolerate this many crashes later than `PROPAGATION_MS`. */
const MAX_LATER_CRASHES = 3;

/** The requirements tolerate this many requests that reach endpoints from then on. */
const MAX_LATER_REQUESTS = 3;

/** The body of the deadly request, which crashes each engine that begins to run it. */
export const DEADLY_BODY = 'a prompt that ends its engine';

/** The part that crashes each engine which begins to run a request with it. */
export const DEADLY_PART_ID = 'dead0001';

/** A part that sound and deadly requests share. */
export const SHARED_PART_ID = 'a0000001';

/** Answer to a request that is refused since endpoints crashed under such requests. */
export const QUARANTINE_ANSWER = 'endpoints ended under such requests\n';

/** Counts the engines that crash under deadly requests, and such requests that reach endpoints. */
export class DeadlyLedger {
  private readonly crashTimesMs: number[] = [];
  /** When each request last reached an endpoint, by id. */
  private readonly arrivalsMs = new Map<string, number>();

  constructor(private readonly rule: DeadlyRule) {}

  noteCrash(atMs: number): void {
    this.crashTimesMs.push(atMs);
  }

  /** A deadly request reached an endpoint, which may have crashed or rejected it. */
  noteArrival(requestId: string, atMs: number): void {
    this.arrivalsMs.set(requestId, atMs);
  }

  get count(): number {
    return this.crashTimesMs.length;
  }

  violations(): string[] {
    const lastMs = this.crashTimesMs[this.rule.toleratedCrashes - 1];
    if (lastMs === undefined) return [];
    return [...this.judgeCrashes(lastMs), ...this.judgeArrivals(lastMs)];
  }

  private judgeCrashes(lastMs: number): string[] {
    const {subject, toleratedCrashes} = this.rule;
    const later = this.crashTimesMs.filter(
      (atMs) => atMs > lastMs + PROPAGATION_MS,
    );
    if (later.length <= MAX_LATER_CRASHES) return [];
    return [
      `${this.count} engines ended under one ${subject}, ${later.length} of them later than ${PROPAGATION_MS} ms after the first ${toleratedCrashes}`,
    ];
  }

  private judgeArrivals(lastMs: number): string[] {
    const {subject, toleratedCrashes, refusedAfterMs} = this.rule;
    const later = [...this.arrivalsMs.values()].filter(
      (atMs) => atMs > lastMs + refusedAfterMs,
    );
    if (later.length <= MAX_LATER_REQUESTS) return [];
    return [
      `${later.length} requests reached endpoints with one ${subject} later than ${refusedAfterMs} ms after it ended ${toleratedCrashes}`,
    ];
  }
}
