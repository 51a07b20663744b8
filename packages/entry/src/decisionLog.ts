import type {Clock} from '@lilacledge/shared';

/** One decision about a request. */
export interface Decision {
  readonly atWallMs: number;
  readonly what: string;
  readonly detail: string;
}

const MAX_REQUESTS = 20_000;

/** Decisions about recent requests, for `lilacledge explain`. */
export class DecisionLog {
  private readonly requests = new Map<string, Decision[]>();

  constructor(private readonly clock: Clock) {}

  note(requestId: string, what: string, detail: string): void {
    const decisions = this.requests.get(requestId) ?? [];
    decisions.push({atWallMs: this.clock.wallMs(), what, detail});
    this.requests.set(requestId, decisions);
    if (this.requests.size <= MAX_REQUESTS) return;
    const oldest = this.requests.keys().next().value!;
    this.requests.delete(oldest);
  }

  explain(requestId: string): readonly Decision[] {
    return this.requests.get(requestId) ?? [];
  }
}
