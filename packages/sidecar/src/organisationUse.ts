import type {Clock} from '@lilacledge/shared';

/** Output tokens of organisations lose half of their weight in this time. */
const HALF_LIFE_MS = 30_000;

/** Below this share of the total, an organisation is forgotten. */
const NEGLIGIBLE_TOKENS = 1;

/** Recent output per organisation at one engine, fading with time. */
export class OrganisationUse {
  private readonly tokens = new Map<string, number>();
  private total = 0;
  private decayedMs: number;

  constructor(private readonly clock: Clock) {
    this.decayedMs = clock.nowMs();
  }

  add(organisationId: string, tokens: number): void {
    this.decay();
    const before = this.tokens.get(organisationId) ?? 0;
    this.tokens.set(organisationId, before + tokens);
    this.total += tokens;
  }

  /** Recent use over an equal share of it among the active organisations. */
  relativeTo(organisationId: string): number {
    const used = this.tokens.get(organisationId) ?? 0;
    if (this.total <= 0) return 0;
    return (used * this.tokens.size) / this.total;
  }

  private decay(): void {
    const nowMs = this.clock.nowMs();
    const elapsedMs = nowMs - this.decayedMs;
    if (elapsedMs < HALF_LIFE_MS / 30) return;
    this.decayedMs = nowMs;
    const kept = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    this.total = 0;
    for (const [id, tokens] of this.tokens) {
      const left = tokens * kept;
      if (left < NEGLIGIBLE_TOKENS) this.tokens.delete(id);
      else this.tokens.set(id, left);
      this.total += left;
    }
  }
}
