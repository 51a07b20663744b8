/** Buckets for each doubling of the length. */
const BUCKETS_PER_OCTAVE = 4;
const MAX_TOKENS = 131_072;
const BUCKET_COUNT = toBucket(MAX_TOKENS) + 1;

/** An estimate is the mean of about this many recent generations that reached its bucket. */
const DECAY_GENERATIONS = 400;

/** Generations after which the estimate of a bucket weighs as much as that of its parent. */
const PARENT_WEIGHT = 6;

/** Half of the generations are assumed to be longer as long as none was seen. */
const PRIOR_MEDIAN_TOKENS = 160;

/** Updates after which the cumulative survival is recomputed. */
const REFRESH_UPDATES = 16;

/** Distribution of the output length, given the tokens produced so far. */
export interface SurvivalEstimate {
  /** P(length > from + ahead | length > from). */
  survival(from: number, ahead: number): number;
  /** Expected number of further tokens after `from`, up to a total of `max`. */
  expectedRemaining(from: number, max: number): number;
}

/**
 * Learns output lengths online as a hazard rate per logarithmic bucket: the share of
 * the generations that reached a bucket and ended in it. Running generations count as
 * exposure immediately, so a shift to longer outputs shows before the first of them
 * has ended.
 */
export class LengthModel implements SurvivalEstimate {
  private readonly exposure = new Float64Array(BUCKET_COUNT);
  private readonly ends = new Float64Array(BUCKET_COUNT);
  private readonly logSurvival = new Float64Array(BUCKET_COUNT + 1);
  private updates = REFRESH_UPDATES;

  constructor(private readonly parent?: LengthModel) {}

  /** Records that a generation went from `before` to `after` tokens without ending. */
  advance(before: number, after: number): void {
    const last = toBucket(after);
    for (let bucket = toBucket(before); bucket < last; bucket++) {
      this.record(bucket, 0);
    }
    this.parent?.advance(before, after);
  }

  /** Records that a generation ended by itself after `length` tokens. */
  end(length: number): void {
    this.record(toBucket(length), 1);
    this.parent?.end(length);
  }

  survival(from: number, ahead: number): number {
    this.refresh();
    return Math.exp(
      this.logSurvivalAt(from + ahead) - this.logSurvivalAt(from),
    );
  }

  expectedRemaining(from: number, max: number): number {
    let expected = 0;
    let position = from;
    let step = Math.max(4, from / 8);
    while (position < max) {
      const width = Math.min(step, max - position);
      expected += width * this.survival(from, position + width / 2 - from);
      position += width;
      step *= 1.5;
    }
    return expected;
  }

  private record(bucket: number, ended: 0 | 1): void {
    const decay = 1 - 1 / DECAY_GENERATIONS;
    this.exposure[bucket] = this.exposure[bucket]! * decay + 1;
    this.ends[bucket] = this.ends[bucket]! * decay + ended;
    this.updates++;
  }

  private hazard(bucket: number): number {
    const prior = this.parent?.hazard(bucket) ?? priorHazard(bucket);
    const weight = this.exposure[bucket]! + PARENT_WEIGHT;
    return (this.ends[bucket]! + PARENT_WEIGHT * prior) / weight;
  }

  private refresh(): void {
    if (this.updates < REFRESH_UPDATES) return;
    this.updates = 0;
    let sum = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      this.logSurvival[bucket] = sum;
      sum += Math.log1p(-Math.min(0.999, this.hazard(bucket)));
    }
    this.logSurvival[BUCKET_COUNT] = sum;
  }

  private logSurvivalAt(tokens: number): number {
    const exact = Math.min(toExactBucket(tokens), BUCKET_COUNT - 1e-9);
    const bucket = Math.floor(exact);
    const start = this.logSurvival[bucket]!;
    const width = this.logSurvival[bucket + 1]! - start;
    return start + width * (exact - bucket);
  }
}

/**
 * Hierarchy of length models of one service. The model of the service is the parent of
 * one model for each size of the token limit, which is the parent of one for each
 * organisation that uses that size. Limits are far above the actual lengths, but
 * callers with the same kind of work set the same limit.
 */
export class LengthEstimator {
  private readonly service = new LengthModel();
  private readonly models = new Map<string, LengthModel>();

  constructor(private readonly maxModels = 1_024) {}

  /** The model for an organisation's requests with a limit close to `maxTokens`. */
  modelFor(organisationId: string, maxTokens: number): LengthModel {
    const size = Math.round(Math.log2(maxTokens));
    const sizeModel = this.getOrCreate(`${size}`, this.service);
    return this.getOrCreate(`${size}|${organisationId}`, sizeModel);
  }

  private getOrCreate(id: string, parent: LengthModel): LengthModel {
    const existing = this.models.get(id);
    if (existing !== undefined) return existing;
    this.evictOldest();
    const model = new LengthModel(parent);
    this.models.set(id, model);
    return model;
  }

  private evictOldest(): void {
    if (this.models.size < this.maxModels) return;
    const oldest = this.models.keys().next().value!;
    this.models.delete(oldest);
  }
}

function toExactBucket(tokens: number): number {
  return BUCKETS_PER_OCTAVE * Math.log2(1 + tokens);
}

function toBucket(tokens: number): number {
  return Math.floor(toExactBucket(Math.min(tokens, MAX_TOKENS)));
}

/** Hazard of the heavy-tailed prior S(x) = 1 / (1 + x / median). */
function priorHazard(bucket: number): number {
  const from = 2 ** (bucket / BUCKETS_PER_OCTAVE) - 1;
  const to = 2 ** ((bucket + 1) / BUCKETS_PER_OCTAVE) - 1;
  return 1 - (PRIOR_MEDIAN_TOKENS + from) / (PRIOR_MEDIAN_TOKENS + to);
}
