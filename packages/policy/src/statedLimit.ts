/** What the head of an answer says of the rate that its endpoint takes. */
export type LimitStatement =
  | {readonly kind: 'none'}
  /** Requests a second, from all entries together. */
  | {readonly kind: 'stated'; readonly perS: number}
  | {readonly kind: 'unreadable'};

/** What a statement changed. */
export const LimitChange = {
  NONE: 'none',
  BEGUN: 'begun',
  RAISED: 'raised',
  LOWERED: 'lowered',
  ENDED: 'ended',
} as const;
export type LimitChange = (typeof LimitChange)[keyof typeof LimitChange];

/** One answer, on the steady clock. */
export interface AnswerTimes {
  readonly sentMs: number;
  readonly nowMs: number;
  /** True for a rejection: one without a limit does not say that it is over. */
  readonly isRejection: boolean;
}

/** What an entry heard of a limit, as all others are told it. */
export interface ToldLimit {
  /** Undefined once the endpoint names none. */
  readonly perS?: number;
  readonly ageMs: number;
  /** Orders all news of a limit: the higher is true, and of two equal ones the later name. */
  readonly version: number;
  /** The entry that heard it itself. */
  readonly origin: string;
}

/** The entry that tells. */
export interface LimitTeller {
  readonly self: string;
  /** Unix time; lets the news of an entry that has started anew follow those of its former life. */
  readonly wallMs: number;
}

/** All entries together keep a limit in any span of this length (stated). */
const SHORTEST_WINDOW_MS = 4_000;

/** Longest span over which the sends of a low rate are counted. */
const LONGEST_WINDOW_MS = 15_000;

/** A limit that goes on is told to other entries this often. */
const REFRESH_MS = 10_000;

/** A limit that nobody has heard of for so long may be over. */
const STALE_MS = 3 * REFRESH_MS;

/** Least pause after the last news of a limit, by what has changed. */
const NEWS_PAUSE_MS: Readonly<Record<LimitChange, number>> = {
  none: REFRESH_MS,
  begun: 0,
  raised: REFRESH_MS,
  lowered: 250,
  ended: 0,
};

interface Stated {
  readonly perS: number;
  readonly heardMs: number;
}

/**
 * The rate that an endpoint says it takes from all entries together. Answers overtake one
 * another: the limit holds until the answer to a request that was sent after the last word of
 * it names none, here or at an entry that tells so. An entry whose part of it is none gets no
 * answers, and relies on what it is told. News carry a version from the entry that heard the
 * answer, and not the time at which they arrive: by that each would be newer than what it meets
 * on its way, and a begin and an end that cross would chase one another for ever.
 */
export class StatedLimit {
  private stated: Stated | undefined;
  private countedSince = -Infinity;
  private endedMs = -Infinity;
  private toldMs = -Infinity;
  private version = 0;
  private origin = '';

  /** Requests a second; undefined while the endpoint names no limit. */
  get perS(): number | undefined {
    return this.stated?.perS;
  }

  /** Span over which sends are counted: at least one in it is allowed, at low rates too. */
  get windowMs(): number {
    const perSendMs = 1_000 / (this.perS ?? Infinity);
    return Math.min(LONGEST_WINDOW_MS, Math.max(SHORTEST_WINDOW_MS, perSendMs));
  }

  /** Sends that all entries together may make in the window. */
  get sendsInWindow(): number {
    return ((this.perS ?? Infinity) * this.windowMs) / 1_000;
  }

  /** Sends count from here on: those made before it was named say nothing. */
  get countedSinceMs(): number {
    return this.countedSince;
  }

  /** True when it may be over and nobody has tried. */
  isStale(nowMs: number): boolean {
    return this.stated !== undefined && nowMs > this.stated.heardMs + STALE_MS;
  }

  noteAnswer(
    statement: LimitStatement,
    {sentMs, nowMs, isRejection}: AnswerTimes,
  ): LimitChange {
    switch (statement.kind) {
      case 'unreadable':
        return LimitChange.NONE;
      case 'stated':
        return this.hear({perS: statement.perS, heardMs: nowMs});
      case 'none': {
        const isOver =
          this.stated !== undefined && sentMs > this.stated.heardMs;
        return isOver && !isRejection ? this.end(nowMs) : LimitChange.NONE;
      }
    }
  }

  /** Another entry tells what it, or one before it, heard; undefined where that is no news. */
  noteTold(told: ToldLimit, nowMs: number): LimitChange | undefined {
    if (!this.isNews(told)) return undefined;
    this.version = told.version;
    this.origin = told.origin;
    this.toldMs = nowMs;
    const heardMs = nowMs - told.ageMs;
    if (told.perS !== undefined) return this.hear({perS: told.perS, heardMs});
    return this.stated === undefined ? LimitChange.NONE : this.end(heardMs);
  }

  /** What others should be told after an own answer, if they should hear of it. */
  newsOf(
    change: LimitChange,
    nowMs: number,
    {self, wallMs}: LimitTeller,
  ): ToldLimit | undefined {
    const isDue = nowMs >= this.toldMs + NEWS_PAUSE_MS[change];
    const isKnown = this.stated !== undefined || change === LimitChange.ENDED;
    if (!isDue || !isKnown) return undefined;
    this.toldMs = nowMs;
    this.version = Math.max(this.version + 1, Math.round(wallMs));
    this.origin = self;
    return this.asTold(nowMs);
  }

  /** What is known now, as it is told. */
  asTold(nowMs: number): ToldLimit {
    const {stated, version, origin} = this;
    const ageMs = nowMs - (stated?.heardMs ?? this.endedMs);
    return {perS: stated?.perS, ageMs, version, origin};
  }

  private isNews({version, origin}: ToldLimit): boolean {
    if (version !== this.version) return version > this.version;
    return origin > this.origin;
  }

  private hear(heard: Stated): LimitChange {
    const known = this.stated;
    this.stated = heard;
    if (known !== undefined) return compareRates(known.perS, heard.perS);
    // A limit that comes and goes is counted as one that goes on.
    const isAnew = heard.heardMs > this.endedMs + SHORTEST_WINDOW_MS;
    if (isAnew) this.countedSince = heard.heardMs;
    return LimitChange.BEGUN;
  }

  private end(nowMs: number): LimitChange {
    this.stated = undefined;
    this.endedMs = nowMs;
    return LimitChange.ENDED;
  }
}

function compareRates(knownPerS: number, perS: number): LimitChange {
  if (perS === knownPerS) return LimitChange.NONE;
  return perS > knownPerS ? LimitChange.RAISED : LimitChange.LOWERED;
}
