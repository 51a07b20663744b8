import type {LogLine} from './logLines.js';

/** Time before and after a request from which endpoint lines are included. */
const CONTEXT_MS = 2_000;

/** Log fields that hold an endpoint. */
const ENDPOINT_FIELDS = ['endpoint', 'from', 'to', 'goesOnAt', 'late'] as const;

/**
 * Builds the timeline of a request, one text per step: the log lines of the
 * request, and those about the endpoints that they name from the same time.
 * Empty if no line names the request.
 */
export function buildRequestTimeline(
  requestId: string,
  lines: readonly LogLine[],
): string[] {
  const requestLines = lines.filter(
    ({fields}) => fields['request'] === requestId,
  );
  if (requestLines.length === 0) return [];
  const times = requestLines.map(({timeMs}) => timeMs);
  const fromMs = Math.min(...times) - CONTEXT_MS;
  const toMs = Math.max(...times) + CONTEXT_MS;
  const endpoints = new Set(requestLines.flatMap(endpointsOf));
  const endpointLines = lines.filter(
    ({timeMs, fields}) =>
      fields['request'] === undefined &&
      timeMs >= fromMs &&
      timeMs <= toMs &&
      endpoints.has(String(fields['endpoint'])),
  );
  const startMs = Math.min(...times);
  return [...requestLines, ...endpointLines]
    .sort((a, b) => a.timeMs - b.timeMs)
    .map((line) => formatLine(line, startMs));
}

function endpointsOf(line: LogLine): string[] {
  return ENDPOINT_FIELDS.map((name) => line.fields[name]).filter(
    (value) => typeof value === 'string',
  );
}

function formatLine(line: LogLine, startMs: number): string {
  const atMs = Math.round(line.timeMs - startMs);
  const sign = atMs < 0 ? '' : '+';
  const time = `${sign}${atMs} ms`.padStart(10);
  const fields = Object.entries(line.fields)
    .filter(([name]) => name !== 'request' && name !== 'level')
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return [time, line.instance, line.event, ...fields].join('  ');
}

function formatValue(value: unknown): string {
  const text = typeof value === 'string' ? value : formatJson(value);
  return /\s/.test(text) ? JSON.stringify(text) : text;
}

function formatJson(value: unknown): string {
  try {
    return JSON.stringify(value);
  } catch {
    // The value is nested more deeply than the stack allows.
    return '…';
  }
}
