import {parse} from 'jsonc-parser';
import type {ParseError} from 'jsonc-parser';

/** How many processes and endpoints a soak has, and what they may repeat. */
export interface SoakShape {
  readonly entries: number;
  /** Engines, each with a sidecar. */
  readonly engines: number;
  /** Plain endpoints. */
  readonly services: number;
  /** Free sends beyond the first in a window, over all entries. */
  readonly retrySlack: number;
}

/** A shape that lacks a field, or has a wrong one. */
export class SoakShapeError extends Error {
  override readonly name = 'SoakShapeError';
}

/** Part of the processes that are entries; the rest are sidecars. */
const ENTRY_SHARE = 0.35;

const USUAL = {services: 3, retrySlack: 50};

/** Least values: with fewer nothing can be sent a second time. */
const LEAST: SoakShape = {entries: 2, engines: 2, services: 2, retrySlack: 0};

/** The usual shape with about so many processes. */
export function shapeOf(processes: number): SoakShape {
  const entries = Math.max(2, Math.round(processes * ENTRY_SHARE));
  const engines = Math.max(2, processes - entries);
  return {...USUAL, entries, engines};
}

/** Parses a shape, JSON with comments; throws an error that names the field. */
export function parseShape(text: string): SoakShape {
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, {allowTrailingComma: true});
  if (errors.length > 0 || typeof value !== 'object' || value === null) {
    throw new SoakShapeError('the shape is no object of JSON with comments');
  }
  const fields = value as Readonly<Record<string, unknown>>;
  for (const name of Object.keys(fields)) {
    if (!Object.hasOwn(LEAST, name)) {
      throw new SoakShapeError(`${name} is no field of a shape`);
    }
  }
  for (const [name, least] of Object.entries(LEAST)) {
    const given = fields[name];
    if (Number.isInteger(given) && (given as number) >= least) continue;
    throw new SoakShapeError(`${name} is no whole number from ${least} on`);
  }
  return fields as unknown as SoakShape;
}
