/** Half-life of the recent rate of urgent arrivals; bursts last 4 to 10 s. */
const RECENT_HALF_LIFE_MS = 1_000;

/** Half-life of the usual rate; longer than a burst, so that it spans some quiet time. */
const USUAL_HALF_LIFE_MS = 8_000;

/**
 * Arrivals at the usual rate that count beside the recent ones. One entry of many sees few
 * urgent arrivals in a second, whose number alone says little about their rate.
 */
const USUAL_WEIGHT_ARRIVALS = 4;

/**
 * Bounds of the reserve, as shares of an engine. Without urgent arrivals, admitted generations
 * still grow, and runs from leaving engines need room: a tenth is one usual prompt.
 */
const MIN_RESERVE_SHARE = 0.1;
const MAX_RESERVE_SHARE = 0.25;

/**
 * Part of a mean urgent prompt that is left free besides the forecast: prompts take room as a
 * whole, so that half of one is too small for the next on average, and arrivals vary.
 */
const PIECE_SHARE = 0.6;

/** Hold time before any run has ended: that of a generation with a few events. */
const INITIAL_HOLD_MS = 700;

/** Weight of one run in the mean hold time, which follows a change by half in 14 runs. */
const HOLD_WEIGHT = 0.05;

/** The engines of a service and the entries that send to them. */
export interface SharedEngines {
  readonly entries: number;
  readonly engines: number;
  /** Memory of one engine. */
  readonly memoryTokens: number;
}

/**
 * Forecasts the engine memory that urgent generations will need, from those that arrived at
 * this entry: their rate, times the time for which one holds memory. Generations that can wait
 * leave that much room free.
 *
 * Prevents urgent refusals when a burst arrives at engines that are full of long generations.
 * A fixed reserve is too small for bursts, and keeps memory unused in quiet times.
 */
export class UrgentReserve {
  private readonly recent = new DecayedRate(RECENT_HALF_LIFE_MS);
  private readonly usual = new DecayedRate(USUAL_HALF_LIFE_MS);
  private holdMs = INITIAL_HOLD_MS;
  /** The last forecast, for metrics. */
  lastShare = MIN_RESERVE_SHARE;

  /** Records that an urgent generation that needs `tokens` arrived at this entry. */
  noteArrival(tokens: number, nowMs: number): void {
    this.recent.note(tokens, nowMs);
    this.usual.note(tokens, nowMs);
  }

  /** Records that an urgent generation held memory at an engine for `forMs`. */
  noteHeld(forMs: number): void {
    this.holdMs += HOLD_WEIGHT * (forMs - this.holdMs);
  }

  /** Share of each engine's memory that generations that can wait leave free. */
  share(shared: SharedEngines, nowMs: number): number {
    const heldTokens = this.tokensPerMsAtEngine(shared, nowMs) * this.holdMs;
    const reserveTokens = heldTokens + this.pieceTokens(shared, nowMs);
    const share = reserveTokens / Math.max(1, shared.memoryTokens);
    this.lastShare = Math.min(
      MAX_RESERVE_SHARE,
      Math.max(MIN_RESERVE_SHARE, share),
    );
    return this.lastShare;
  }

  /** Rate at which urgent tokens arrive at each engine, from all entries. */
  tokensPerMsAtEngine(
    {entries, engines}: Omit<SharedEngines, 'memoryTokens'>,
    nowMs: number,
  ): number {
    return (this.tokensPerMs(nowMs) * entries) / Math.max(1, engines);
  }

  /**
   * Free room that is too small for another urgent prompt. Fades when no prompts arrive.
   */
  private pieceTokens(
    {entries, engines}: SharedEngines,
    nowMs: number,
  ): number {
    const {count, tokens} = this.usual.at(nowMs);
    if (count <= 0) return 0;
    const perEngine = (count * entries) / Math.max(1, engines);
    return (tokens / count) * PIECE_SHARE * Math.min(1, perEngine);
  }

  /**
   * Rate at which urgent tokens arrive at this entry: the recent rate, with the usual rate as
   * prior knowledge that is worth `USUAL_WEIGHT_ARRIVALS`.
   */
  private tokensPerMs(nowMs: number): number {
    const usual = this.usual.at(nowMs);
    if (usual.tokens <= 0) return 0;
    const recent = this.recent.at(nowMs);
    const meanTokens = usual.tokens / usual.count;
    const priorTokens = USUAL_WEIGHT_ARRIVALS * meanTokens;
    const priorMs = (priorTokens * usual.ms) / usual.tokens;
    return (recent.tokens + priorTokens) / (recent.ms + priorMs);
  }
}

/** What arrived in the recent past, where older times weigh less. */
interface DecayedArrivals {
  readonly count: number;
  readonly tokens: number;
  /** Observed time, which decays like the arrivals. */
  readonly ms: number;
}

class DecayedRate {
  private last: DecayedArrivals = {count: 0, tokens: 0, ms: 0};
  private lastMs: number | undefined;

  constructor(private readonly halfLifeMs: number) {}

  note(tokens: number, nowMs: number): void {
    const before = this.at(nowMs);
    this.last = {
      count: before.count + 1,
      tokens: before.tokens + tokens,
      ms: before.ms,
    };
    this.lastMs = nowMs;
  }

  at(nowMs: number): DecayedArrivals {
    if (this.lastMs === undefined) return this.initial;
    const elapsedMs = Math.max(0, nowMs - this.lastMs);
    const decay = 0.5 ** (elapsedMs / this.halfLifeMs);
    const fullMs = this.halfLifeMs / Math.LN2;
    const {count, tokens, ms} = this.last;
    return {
      count: count * decay,
      tokens: tokens * decay,
      ms: ms * decay + fullMs * (1 - decay),
    };
  }

  /** A first arrival is not taken for a burst: a whole window without others is assumed. */
  private get initial(): DecayedArrivals {
    return {count: 0, tokens: 0, ms: this.halfLifeMs / Math.LN2};
  }
}
