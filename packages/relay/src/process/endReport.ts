import type {BoundedLog, LogFields} from '../log/boundedLog.js';
import {memoryFields} from './processMemory.js';

const MS_PER_S = 1_000;

/** Why a process ends, as far as it notices. */
export const EndCause = {
  /** The process was told to end, and has left. */
  SIGNAL: 'signal',
  UNCAUGHT_EXCEPTION: 'uncaughtException',
  /** An exit without either, as after settings that can't be used. */
  EXIT: 'exit',
} as const;
export type EndCause = (typeof EndCause)[keyof typeof EndCause];

/** What an end report tells, and the process that it listens to. */
export interface EndReportOptions {
  readonly log: BoundedLog;
  readonly role: string | undefined;
  /** What the process holds, for the log. */
  readonly state: () => LogFields;
  /** Emits `exit` when the process is about to end; `process` by default. */
  readonly source?: {on(event: 'exit', listener: (code: number) => void): void};
}

/** Writes a last log line when a process ends, with its cause and what the process held. */
export class EndReport {
  private cause: EndCause = EndCause.EXIT;
  private signal: string | undefined;

  constructor(private readonly options: EndReportOptions) {
    const source = options.source ?? process;
    source.on('exit', (code) => this.write(code));
  }

  /** The process was told to end by a signal. */
  noteSignal(signal: string): void {
    this.cause = EndCause.SIGNAL;
    this.signal = signal;
  }

  /** The process ends at once as nothing caught an error. */
  noteUncaughtException(): void {
    this.cause = EndCause.UNCAUGHT_EXCEPTION;
  }

  private write(code: number): void {
    const {log, role, state} = this.options;
    const fields = {
      role,
      code,
      cause: this.cause,
      signal: this.signal,
      ageMs: Math.round(process.uptime() * MS_PER_S),
      ...memoryFields(),
      ...state(),
    };
    if (code === 0) log.info('process.ended', fields);
    else log.error('process.ended', fields);
    log.flush();
  }
}
