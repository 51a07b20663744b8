import {parse} from 'jsonc-parser';
import type {ParseError} from 'jsonc-parser';

/** Numbers of processes and endpoints of a soak, and their retry budget. */
export interface SoakShape {
  readonly entries: number;
  /** Engines, each with a sidecar. */
  readonly engines: number;
  /** Plain endpoints. */
  readonly services: number;
  /** Retries in a window that are free of the retry ratio, over all entries. */
  readonly retrySlack: number;
}

/** Thrown for a shape with a missing, unknown or invalid field. */
export class SoakShapeError extends Error {
  override readonly name = 'SoakShapeError';
}

/** Share of the processes that are entries; the others are sidecars. */
const ENTRY_SHARE = 0.35;

const DEFAULTS = {services: 3, retrySlack: 50};

/** Smallest values: with fewer endpoints no request could be retried at another one. */
const MINIMUM: SoakShape = {entries: 2, engines: 2, services: 2, retrySlack: 0};

/** Returns the default shape with about this number of processes. */
export function createDefaultShape(processes: number): SoakShape {
  const entries = Math.max(2, Math.round(processes * ENTRY_SHARE));
  const engines = Math.max(2, processes - entries);
  return {...DEFAULTS, entries, engines};
}

/** Parses a shape, JSON with comments; throws a SoakShapeError that names the wrong field. */
export function parseShape(text: string): SoakShape {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, {allowTrailingComma: true});
  if (errors.length > 0 || typeof value !== 'object' || value === null) {
    throw new SoakShapeError('the file holds no object in JSON with comments');
  }
  const fields = value as Readonly<Record<string, unknown>>;
  for (const name of Object.keys(fields)) {
    if (!Object.hasOwn(MINIMUM, name)) {
      throw new SoakShapeError(`${name} is not a field of a shape`);
    }
  }
  for (const [name, minimum] of Object.entries(MINIMUM)) {
    const count = fields[name];
    if (Number.isInteger(count) && (count as number) >= minimum) continue;
    throw new SoakShapeError(
      `${name} must be a whole number of at least ${minimum}`,
    );
  }
  return fields as unknown as SoakShape;
}
