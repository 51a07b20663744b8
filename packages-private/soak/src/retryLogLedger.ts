/** A send beyond the first of a request, as an endpoint has seen it. */
interface RepeatArrival {
  readonly service: string;
  readonly requestId: string;
  readonly atMs: number;
}

/** A request that a caller sent to an entry. */
interface SentRequest {
  readonly entry: string;
  readonly atMs: number;
}

/** The retries that an entry logged to have counted. */
interface LoggedRetries {
  /** By request. */
  readonly byRequest: Map<string, number>;
  /** Times of day of the lines. */
  readonly wallTimesMs: number[];
  /** Lines that were left out, as far as a later line tells of them. */
  leftOut: number;
}

/** The retries that the running process of an entry has counted. */
export interface CounterReading {
  /** When the counter was asked for; it has all that was counted before. */
  readonly atMs: number;
  /** The same moment as a time of day. */
  readonly wallMs: number;
  readonly retries: number;
}

/** Log event of a retry that was counted in the budget. */
const TAKEN_EVENT = '"retry.taken"';

/** A process that is killed loses the lines that it has not written; it writes them at once. */
const UNWRITTEN_MS = 500;

/**
 * Compares the retries that entries count in their budgets with the sends that reach endpoints.
 * Each has a line in the log, unless the logger left it out; how many it left out follows from the
 * counter. Of what no reading of the counter has, only the lines are known.
 */
export class RetryLogLedger {
  private readonly logged = new Map<string, LoggedRetries>();
  /** When the processes of each entry ended, in order of time. */
  private readonly endsMs = new Map<string, number[]>();
  /** In order of time, by entry. */
  private readonly readings = new Map<string, CounterReading[]>();
  private readonly sent = new Map<string, SentRequest>();
  private readonly arrived = new Set<string>();
  private readonly repeats: RepeatArrival[] = [];

  /** A caller is about to send a request to an entry. */
  noteRequest(requestId: string, entry: string, atMs: number): void {
    this.sent.set(requestId, {entry, atMs});
  }

  /** A request reached an endpoint, which may have run or rejected it. */
  noteArrival(service: string, requestId: string, atMs: number): void {
    if (this.arrived.has(requestId)) {
      this.repeats.push({service, requestId, atMs});
    }
    this.arrived.add(requestId);
  }

  noteEntryEnded(entry: string, atMs: number): void {
    append(this.endsMs, entry, atMs);
  }

  noteCounter(entry: string, reading: CounterReading): void {
    append(this.readings, entry, reading);
  }

  /** Reads what an entry logged during the whole run. */
  readLog(entry: string, text: string): void {
    const logged: LoggedRetries = {
      byRequest: new Map(),
      wallTimesMs: [],
      leftOut: 0,
    };
    this.logged.set(entry, logged);
    for (const line of text.split('\n')) {
      // The last line of a killed process may be incomplete.
      if (!line.includes(TAKEN_EVENT) || !line.endsWith('}')) continue;
      const {request, timeMs, leftOut = 0} = JSON.parse(line) as TakenLine;
      const {byRequest, wallTimesMs} = logged;
      byRequest.set(request, (byRequest.get(request) ?? 0) + 1);
      wallTimesMs.push(timeMs);
      logged.leftOut += leftOut;
    }
  }

  /** Retries that the entries have counted, by their logs. */
  get countedRetries(): number {
    let sum = 0;
    for (const {byRequest, leftOut} of this.logged.values()) {
      sum += leftOut;
      for (const count of byRequest.values()) sum += count;
    }
    return sum;
  }

  /** Sends beyond the first that were compared with a counter. */
  get comparedWithCounters(): number {
    return this.repeats.filter((one) => this.readingOf(one) !== undefined)
      .length;
  }

  /** Describes the entries of which more sends beyond the first arrived than they have counted. */
  violations(): string[] {
    const byReading = new Map<CounterReading, RepeatArrival[]>();
    const unread = new Map<string, RepeatArrival[]>();
    for (const repeat of this.repeatsWithoutLine()) {
      const reading = this.readingOf(repeat);
      if (reading !== undefined) append(byReading, reading, repeat);
      else if (!this.hasLostLines(repeat)) {
        append(unread, this.entryOf(repeat), repeat);
      }
    }
    return [
      ...[...byReading].flatMap(([reading, repeats]) =>
        this.judgeByCounter(reading, repeats),
      ),
      ...[...unread].flatMap(([entry, repeats]) =>
        this.judgeByLines(entry, repeats),
      ),
    ];
  }

  private judgeByCounter(
    reading: CounterReading,
    repeats: readonly RepeatArrival[],
  ): string[] {
    const entry = this.entryOf(repeats[0]!);
    const logged = this.countLines(entry, reading);
    if (repeats.length <= reading.retries - logged) return [];
    return [
      `${describeUncounted(entry, repeats)}, its counter has ${reading.retries} and its log ${logged}`,
    ];
  }

  private judgeByLines(
    entry: string,
    repeats: readonly RepeatArrival[],
  ): string[] {
    if (repeats.length <= (this.logged.get(entry)?.leftOut ?? 0)) return [];
    return [describeUncounted(entry, repeats)];
  }

  /** Lines that the process wrote whose counter was read, until then. */
  private countLines(entry: string, {atMs, wallMs}: CounterReading): number {
    const startMs = this.endsMs.get(entry)?.findLast((end) => end <= atMs);
    const startWallMs = wallMs - atMs + (startMs ?? -Infinity);
    const wallTimesMs = this.logged.get(entry)?.wallTimesMs ?? [];
    return wallTimesMs.filter(
      (timeMs) => timeMs > startWallMs && timeMs <= wallMs,
    ).length;
  }

  /**
   * The last reading of the process that a request was sent to, if it has what arrived: retries
   * are counted before they are sent.
   */
  private readingOf({
    requestId,
    atMs,
  }: RepeatArrival): CounterReading | undefined {
    const sent = this.sent.get(requestId);
    if (sent === undefined) return undefined;
    const endsMs = this.endsMs.get(sent.entry) ?? [];
    const startMs = endsMs.findLast((end) => end <= sent.atMs) ?? -Infinity;
    const endMs = endsMs.find((end) => end > sent.atMs) ?? Infinity;
    const last = this.readings
      .get(sent.entry)
      ?.findLast((one) => one.atMs >= startMs && one.atMs < endMs);
    return last !== undefined && last.atMs >= atMs ? last : undefined;
  }

  private repeatsWithoutLine(): RepeatArrival[] {
    const left = new Map<string, number>();
    for (const {byRequest} of this.logged.values()) {
      for (const [request, count] of byRequest) {
        left.set(request, (left.get(request) ?? 0) + count);
      }
    }
    return this.repeats.filter(({requestId}) => {
      const count = left.get(requestId) ?? 0;
      left.set(requestId, count - 1);
      return count <= 0;
    });
  }

  private entryOf({requestId}: RepeatArrival): string {
    return this.sent.get(requestId)?.entry ?? '';
  }

  private hasLostLines(repeat: RepeatArrival): boolean {
    const endsMs = this.endsMs.get(this.entryOf(repeat)) ?? [];
    return endsMs.some((end) => Math.abs(end - repeat.atMs) <= UNWRITTEN_MS);
  }
}

function describeUncounted(
  entry: string,
  repeats: readonly RepeatArrival[],
): string {
  const {service, requestId, atMs} = repeats[0]!;
  const at = `${requestId} to ${service} at ${Math.round(atMs)} ms`;
  return `${entry}: ${repeats.length} sends beyond the first are in no count, ${at}`;
}

function append<K, V>(lists: Map<K, V[]>, key: K, value: V): void {
  const known = lists.get(key);
  if (known === undefined) lists.set(key, [value]);
  else known.push(value);
}

interface TakenLine {
  readonly request: string;
  /** Time of day. */
  readonly timeMs: number;
  /** Lines of this event that were left out in the last second. */
  readonly leftOut?: number;
}
