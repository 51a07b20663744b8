/** From when to when an entry knows what an endpoint said. */
interface KnownSpan {
  readonly fromMs: number;
  untilMs: number;
}

/** Which entries have passed on an answer of an endpoint that says something of itself. */
export class ToldEntries {
  /** By entry and endpoint. */
  private readonly spans = new Map<string, KnownSpan[]>();

  noteTold(entry: string, endpointId: string, atMs: number): void {
    const key = keyOf(entry, endpointId);
    const known = this.spans.get(key) ?? [];
    this.spans.set(key, known);
    if (known.at(-1)?.untilMs === Infinity) return;
    known.push({fromMs: atMs, untilMs: Infinity});
  }

  /** The process of an entry has ended: the next one knows nothing. */
  noteEnded(entry: string, atMs: number): void {
    for (const [key, spans] of this.spans) {
      if (!key.startsWith(keyOf(entry, ''))) continue;
      const last = spans.at(-1);
      if (last !== undefined) last.untilMs = Math.min(last.untilMs, atMs);
    }
  }

  /** Since when the entry has known it at some moment; undefined where it does not. */
  knownSinceMs(
    entry: string,
    endpointId: string,
    atMs: number,
  ): number | undefined {
    const spans = this.spans.get(keyOf(entry, endpointId)) ?? [];
    return spans.find(({fromMs, untilMs}) => fromMs <= atMs && atMs < untilMs)
      ?.fromMs;
  }
}

function keyOf(entry: string, endpointId: string): string {
  return `${entry} ${endpointId}`;
}
