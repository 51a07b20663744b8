import {write, writeSync} from 'node:fs';
import type {Clock} from '@lilacledge/shared';

/** Values that explain a line. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Severity of a line; the lowest are left out first under load. */
export const LogLevel = {
  ERROR: 'error',
  WARN: 'warn',
  INFO: 'info',
  DEBUG: 'debug',
} as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Structured lines of one process: what was decided, from which inputs. */
export interface DecisionLogger {
  error(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
  /** Lines left out since the start, because of the rate or the buffer. */
  readonly droppedLines: number;
}

/** Lines of one event that are written in one second; the rest is counted. */
const LINES_PER_EVENT_AND_S = 20;

/** Failures explain more than successes, so they may be this much more. */
const FAILURE_FACTOR = 5;

/** Bytes that wait for a slow reader of standard output; then lines are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Time over which an event's lines are counted. */
const WINDOW_MS = 1_000;

/** File descriptor. */
const STANDARD_OUTPUT = 1;

/** A log whose lines can be written before the process ends. */
export interface BoundedLog extends DecisionLogger {
  /** Writes what is buffered at once; waits for its reader. */
  flush(): void;
}

export interface LogSettings {
  readonly instance: string;
  readonly clock: Clock;
  /** Replaced in tests. */
  readonly output?: (
    bytes: Buffer,
    done: (error: Error | null) => void,
  ) => void;
  /** The same for `flush`. */
  readonly outputNow?: (bytes: Buffer) => void;
}

interface EventWindow {
  startMs: number;
  written: number;
  dropped: number;
}

/** Writes to standard output without ever waiting for its reader. */
export function createBoundedLog(settings: LogSettings): BoundedLog {
  const {clock, instance} = settings;
  const output = settings.output ?? writeStandardOutput;
  const outputNow = settings.outputNow ?? writeStandardOutputNow;
  const windows = new Map<string, EventWindow>();
  let buffered: string[] = [];
  let bufferedBytes = 0;
  let isWriting = false;
  let droppedLines = 0;

  function admit(level: LogLevel, event: string): number | undefined {
    const nowMs = clock.nowMs();
    let window = windows.get(event);
    if (window === undefined) {
      window = {startMs: nowMs, written: 0, dropped: 0};
      windows.set(event, window);
    }
    let leftOut = 0;
    if (nowMs - window.startMs >= WINDOW_MS) {
      leftOut = window.dropped;
      window.startMs = nowMs;
      window.written = 0;
      window.dropped = 0;
    }
    const isFailure = level === LogLevel.ERROR || level === LogLevel.WARN;
    const most = LINES_PER_EVENT_AND_S * (isFailure ? FAILURE_FACTOR : 1);
    if (window.written >= most || bufferedBytes > MAX_BUFFERED_BYTES) {
      window.dropped++;
      droppedLines++;
      return undefined;
    }
    window.written++;
    return leftOut;
  }

  function add(level: LogLevel, event: string, fields?: LogFields): void {
    const leftOut = admit(level, event);
    if (leftOut === undefined) return;
    const line = JSON.stringify({
      timeMs: clock.wallMs(),
      level,
      instance,
      event,
      ...fields,
      leftOut: leftOut > 0 ? leftOut : undefined,
    });
    buffered.push(line);
    bufferedBytes += line.length + 1;
    if (!isWriting) setImmediate(writeNext);
    isWriting = true;
  }

  function takeBuffered(): Buffer {
    const text = `${buffered.join('\n')}\n`;
    buffered = [];
    return Buffer.from(text);
  }

  function flush(): void {
    if (buffered.length > 0) outputNow(takeBuffered());
    bufferedBytes = 0;
  }

  function writeNext(): void {
    if (buffered.length === 0) {
      isWriting = false;
      return;
    }
    const size = bufferedBytes;
    output(takeBuffered(), (error) => {
      bufferedBytes -= size;
      // Nobody reads standard output: the lines are lost, and counted.
      if (error !== null) droppedLines++;
      writeNext();
    });
  }

  return {
    error: (event, fields) => add(LogLevel.ERROR, event, fields),
    warn: (event, fields) => add(LogLevel.WARN, event, fields),
    info: (event, fields) => add(LogLevel.INFO, event, fields),
    debug: () => {},
    flush,
    get droppedLines() {
      return droppedLines;
    },
  };
}

/** Logs nothing. */
export const silentLog: DecisionLogger = {
  error: () => {},
  warn: () => {},
  info: () => {},
  debug: () => {},
  droppedLines: 0,
};

function writeStandardOutputNow(bytes: Buffer): void {
  try {
    writeSync(STANDARD_OUTPUT, bytes);
  } catch {
    // Nobody reads standard output, and there is no other place for the lines.
  }
}

/** Asynchronous, so that a full pipe holds up no request. */
function writeStandardOutput(
  bytes: Buffer,
  done: (error: Error | null) => void,
): void {
  write(STANDARD_OUTPUT, bytes, 0, bytes.length, null, (error, written) => {
    if (error === null && written < bytes.length) {
      writeStandardOutput(bytes.subarray(written), done);
      return;
    }
    done(error);
  });
}
