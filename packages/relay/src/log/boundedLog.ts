import type {Clock} from '@lilacledge/shared';
import {openLogOutput} from './logOutput.js';
import type {LogOutput} from './logOutput.js';

/** Structured fields of a log line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/**
 * Severity of a line. Errors and warnings have a higher rate limit; debug lines are not
 * written.
 */
export const LogLevel = {
  ERROR: 'error',
  WARN: 'warn',
  INFO: 'info',
  DEBUG: 'debug',
} as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Writes structured log lines: an event name and the fields that explain it. */
export interface Logger {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
  /** Lines dropped since the start, by the rate limit, a full buffer or a failed write. */
  readonly droppedLines: number;
}

/**
 * Maximum lines of one event in each rate window; further lines are dropped and
 * counted.
 */
const MAX_LINES_PER_EVENT = 20;

/** Factor for the rate limit of errors and warnings, which explain more than successes. */
const FAILURE_LINES_FACTOR = 5;

/**
 * Maximum bytes buffered while standard output is read slowly; further lines are
 * dropped.
 */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Length of the window to which the rate limit of each event applies. */
const RATE_WINDOW_MS = 1_000;

/** A rate-limited logger that can be flushed before the process exits. */
export interface BoundedLog extends Logger {
  /** Writes the buffered lines synchronously, before the process ends. */
  flush(): void;
}

export interface BoundedLogOptions {
  readonly instance: string;
  readonly clock: Clock;
  /** Writes asynchronously; defaults to standard output. */
  readonly output?: LogOutput['write'];
  /** Writes synchronously, for `flush`; defaults to standard output. */
  readonly outputSync?: LogOutput['writeLast'];
}

interface EventWindow {
  startMs: number;
  written: number;
  dropped: number;
}

/**
 * Creates a logger that writes to standard output without blocking on its reader. Lines
 * of each event are limited in rate, and the buffer is limited in size.
 */
export function createBoundedLog(options: BoundedLogOptions): BoundedLog {
  const {clock, instance} = options;
  let opened: LogOutput | undefined;
  const stdout = (): LogOutput => (opened ??= openLogOutput());
  const {
    output = (bytes, done) => stdout().write(bytes, done),
    outputSync = (bytes) => stdout().writeLast(bytes),
  } = options;
  const windows = new Map<string, EventWindow>();
  let buffered: string[] = [];
  let bufferedBytes = 0;
  let isWriting = false;
  let droppedLines = 0;

  /**
   * Applies the limits to a line: undefined if it must be dropped, else the number of
   * lines of the event that were dropped in its last window, once it is over.
   */
  function admit(level: LogLevel, event: string): number | undefined {
    const nowMs = clock.nowMs();
    let window = windows.get(event);
    if (window === undefined) {
      window = {startMs: nowMs, written: 0, dropped: 0};
      windows.set(event, window);
    }
    let droppedInLastWindow = 0;
    if (nowMs - window.startMs >= RATE_WINDOW_MS) {
      droppedInLastWindow = window.dropped;
      window.startMs = nowMs;
      window.written = 0;
      window.dropped = 0;
    }
    const isFailure = level === LogLevel.ERROR || level === LogLevel.WARN;
    const maxLines =
      MAX_LINES_PER_EVENT * (isFailure ? FAILURE_LINES_FACTOR : 1);
    if (window.written >= maxLines || bufferedBytes > MAX_BUFFERED_BYTES) {
      window.dropped++;
      droppedLines++;
      return undefined;
    }
    window.written++;
    return droppedInLastWindow;
  }

  function append(level: LogLevel, event: string, fields?: LogFields): void {
    const droppedInLastWindow = admit(level, event);
    if (droppedInLastWindow === undefined) return;
    const line = JSON.stringify({
      timeMs: clock.wallMs(),
      level,
      instance,
      event,
      ...fields,
      leftOut: droppedInLastWindow > 0 ? droppedInLastWindow : undefined,
    });
    buffered.push(line);
    bufferedBytes += line.length + 1;
    if (!isWriting) setImmediate(writeBuffered);
    isWriting = true;
  }

  function drainBuffer(): Buffer {
    const text = `${buffered.join('\n')}\n`;
    buffered = [];
    return Buffer.from(text);
  }

  function flush(): void {
    if (buffered.length > 0) outputSync(drainBuffer());
    bufferedBytes = 0;
  }

  function writeBuffered(): void {
    if (buffered.length === 0) {
      isWriting = false;
      return;
    }
    const writtenBytes = bufferedBytes;
    output(drainBuffer(), (error) => {
      bufferedBytes -= writtenBytes;
      // Standard output has no reader: the lines are lost. Counted as one drop.
      if (error !== null) droppedLines++;
      writeBuffered();
    });
  }

  return {
    error: (event, fields) => append(LogLevel.ERROR, event, fields),
    warn: (event, fields) => append(LogLevel.WARN, event, fields),
    info: (event, fields) => append(LogLevel.INFO, event, fields),
    debug: () => {},
    flush,
    get droppedLines() {
      return droppedLines;
    },
  };
}

/** A logger that discards all lines. */
export const silentLog: Logger = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
  droppedLines: 0,
};
