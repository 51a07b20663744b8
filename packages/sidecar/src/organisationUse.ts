import type {Clock} from '@lilacledge/shared';

/** Time after which counted output tokens have half their weight. */
const HALF_LIFE_MS = 30_000;

/** An organisation with fewer decayed tokens than this is removed. */
const MIN_TRACKED_TOKENS = 1;

/** Exponentially decayed output tokens per organisation at one engine. */
export class OrganisationUse {
  private readonly tokens = new Map<string, number>();
  private total = 0;
  private decayedAtMs: number;

  constructor(private readonly clock: Clock) {
    this.decayedAtMs = clock.nowMs();
  }

  add(organisationId: string, tokens: number): void {
    this.decay();
    const before = this.tokens.get(organisationId) ?? 0;
    this.tokens.set(organisationId, before + tokens);
    this.total += tokens;
  }

  /** The organisation's recent output relative to an equal share of those counted. */
  relativeUse(organisationId: string): number {
    const used = this.tokens.get(organisationId) ?? 0;
    if (this.total <= 0) return 0;
    return (used * this.tokens.size) / this.total;
  }

  private decay(): void {
    const nowMs = this.clock.nowMs();
    const elapsedMs = nowMs - this.decayedAtMs;
    if (elapsedMs < HALF_LIFE_MS / 30) return;
    this.decayedAtMs = nowMs;
    const decayFactor = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    this.total = 0;
    for (const [id, tokens] of this.tokens) {
      const decayedTokens = tokens * decayFactor;
      if (decayedTokens < MIN_TRACKED_TOKENS) this.tokens.delete(id);
      else this.tokens.set(id, decayedTokens);
      this.total += decayedTokens;
    }
  }
}
