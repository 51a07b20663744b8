import {readFileSync} from 'node:fs';
import {systemClock} from '@lilacledge/shared';
import type {Ledger} from './ledger.js';
import type {Program} from './program.js';

/** Share of the memory of its settings that a program may use. */
const MAX_RESIDENT_SHARE = 0.8;

const SAMPLE_INTERVAL_MS = 50;
const BYTES_PER_MB = 1e6;
const BYTES_PER_KB = 1_024;

/** Records programs that use more memory than their settings allow. */
export class ResidentWatch {
  /** Highest resident memory of all programs. */
  peakMb = 0;
  private readonly timer: NodeJS.Timeout;
  /** Incarnations that were recorded, by program. */
  private readonly recorded = new Map<Program, number>();

  constructor(
    private readonly programs: readonly Program[],
    private readonly ledger: Ledger,
  ) {
    this.timer = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private sample(): void {
    for (const program of this.programs) {
      const residentMb = residentMbOf(program.pid);
      if (residentMb === undefined) continue;
      this.peakMb = Math.max(this.peakMb, residentMb);
      const isOver = residentMb > program.memoryMb * MAX_RESIDENT_SHARE;
      const {incarnation} = program;
      if (!isOver || this.recorded.get(program) === incarnation) continue;
      this.recorded.set(program, incarnation);
      this.ledger.note({
        type: 'overMemory',
        atMs: systemClock.nowMs(),
        program: program.node.name,
        residentMb,
        memoryMb: program.memoryMb,
      });
    }
  }
}

/** Resident memory of a process; undefined if it has ended. */
function residentMbOf(pid: number | undefined): number | undefined {
  if (pid === undefined) return undefined;
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
    if (match === null) return undefined;
    return (Number(match[1]) * BYTES_PER_KB) / BYTES_PER_MB;
  } catch {
    // The process ended between two samples.
    return undefined;
  }
}
