import type {Clock} from '@lilacledge/shared';
import type {Generation} from './generation.js';

/** The generations of this incarnation whose output can still be read. */
export class GenerationRegistry {
  private readonly generations = new Map<string, Generation>();

  constructor(
    private readonly clock: Clock,
    private readonly retentionMs: number,
  ) {}

  get size(): number {
    return this.generations.size;
  }

  add(generation: Generation): void {
    this.generations.set(generation.id, generation);
  }

  find(generationId: string): Generation | undefined {
    return this.generations.get(generationId);
  }

  /** Removes an ended generation after the retention time. */
  retire(generation: Generation): void {
    this.clock.after(this.retentionMs, () => {
      this.generations.delete(generation.id);
    });
  }

  all(): IterableIterator<Generation> {
    return this.generations.values();
  }
}
