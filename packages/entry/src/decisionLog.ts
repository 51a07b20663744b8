import type {Clock} from '@lilacledge/shared';

/** One step in the handling of a request, such as the choice of an endpoint. */
export interface Decision {
  readonly atWallMs: number;
  readonly what: string;
  readonly detail: string;
}

/** Beyond this number, the request recorded first is evicted. */
const MAX_REQUESTS = 20_000;

/**
 * Keeps the decisions about the most recent requests for `lilacledge explain`.
 */
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
