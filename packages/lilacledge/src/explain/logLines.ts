import {createInterface} from 'node:readline';
import type {Readable} from 'node:stream';

/** A structured line from the log of a process. */
export interface LogLine {
  readonly timeMs: number;
  readonly instance: string;
  readonly event: string;
  /** All other fields of the line. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses a line of text; undefined if it is no log line of lilacledge. Ignores
 * what a log collector writes before the JSON object, such as a time or a host.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  const value = parseObject(text.slice(start));
  if (value === undefined) return undefined;
  const {timeMs, instance, event, ...fields} = value;
  if (typeof timeMs !== 'number' || !Number.isFinite(timeMs)) return undefined;
  if (typeof event !== 'string') return undefined;
  return {timeMs, instance: String(instance), event, fields};
}

/** Reads all log lines of lilacledge from a stream. */
export async function readLogLines(stream: Readable): Promise<LogLine[]> {
  const lines: LogLine[] = [];
  for await (const text of createInterface({input: stream})) {
    const line = parseLogLine(text);
    if (line !== undefined) lines.push(line);
  }
  return lines;
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    // A line of another program, or a line cut off at the end of a file.
    return undefined;
  }
}
