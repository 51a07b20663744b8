/** A version of the configuration, and the wall time at which it was written or became active. */
interface VersionEvent {
  readonly version: number;
  readonly atMs: number;
}

/** Log event of a version that became active. */
const ACTIVE_EVENT = 'config.inForce';

/** Judges by the entries' logs whether versions of the configuration become active in time. */
export class VersionLedger {
  private readonly written: VersionEvent[] = [];
  private readonly activeByEntry = new Map<string, readonly VersionEvent[]>();

  noteWritten(version: number, atMs: number): void {
    this.written.push({version, atMs});
  }

  /** Reads what an entry logged during the whole run. */
  readLog(entry: string, text: string): void {
    // The last line of a killed process may be incomplete.
    const lines = text
      .split('\n')
      .filter((line) => line.includes(ACTIVE_EVENT) && line.endsWith('}'));
    this.activeByEntry.set(entry, lines.map(parseActiveVersion));
  }

  /** Versions that an entry had not active within `applyMs`, nor a newer one. */
  violations(applyMs: number): string[] {
    if (this.written.length === 0 || this.activeByEntry.size === 0) {
      return ['no version of the configuration was judged'];
    }
    const late: string[] = [];
    for (const [entry, active] of this.activeByEntry) {
      for (const {version, atMs} of this.written) {
        const first = active.find((event) => event.version >= version);
        const tookMs = (first?.atMs ?? Infinity) - atMs;
        if (tookMs <= applyMs) continue;
        late.push(
          `version ${version} is active at ${entry} after ${tookMs} ms`,
        );
      }
    }
    return late;
  }
}

function parseActiveVersion(line: string): VersionEvent {
  const {version, timeMs} = JSON.parse(line) as Record<string, number>;
  return {version: version!, atMs: timeMs!};
}
