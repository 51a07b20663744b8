/** A time in which an entry knows of an endpoint's announcement. */
interface InformedSpan {
  readonly fromMs: number;
  untilMs: number;
}

/** Tracks which entries know of an endpoint's announcement, as they forwarded an answer with it. */
export class InformedEntries {
  /** By entry and endpoint. */
  private readonly spans = new Map<string, InformedSpan[]>();

  noteInformed(entry: string, endpointId: string, atMs: number): void {
    const key = keyOf(entry, endpointId);
    const known = this.spans.get(key) ?? [];
    this.spans.set(key, known);
    if (known.at(-1)?.untilMs === Infinity) return;
    known.push({fromMs: atMs, untilMs: Infinity});
  }

  /** The process of an entry has ended; its successor knows of no announcements. */
  noteEntryEnded(entry: string, atMs: number): void {
    for (const [key, spans] of this.spans) {
      if (!key.startsWith(keyOf(entry, ''))) continue;
      const last = spans.at(-1);
      if (last !== undefined) last.untilMs = Math.min(last.untilMs, atMs);
    }
  }

  /** Since when the entry knows of the announcement at `atMs`; undefined when it does not. */
  informedSinceMs(
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
