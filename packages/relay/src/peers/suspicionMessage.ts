import {Exposure} from '@lilacledge/policy';
import type {CrashEnd, Suspicion} from '@lilacledge/policy';

/** Longest name of a request or of a life that is taken from elsewhere. */
const MOST_NAME_CHARACTERS = 200;

/** More lives than one process tells of at once are not taken. */
const MOST_LIVES = 256;

const EXPOSURES: ReadonlySet<unknown> = new Set(Object.values(Exposure));

/** Checks a suspicion from elsewhere; undefined when it is none. */
export function toSuspicion(value: unknown): Suspicion | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const {fingerprint, ends, cleared} = value as Partial<Suspicion>;
  if (!isName(fingerprint) || !isListOf(ends, isCrashEnd)) return undefined;
  if (!isListOf(cleared, isName)) return undefined;
  return {fingerprint, ends, cleared};
}

/** True for the end of a life as another process tells of it. */
export function isCrashEnd(value: unknown): value is CrashEnd {
  if (typeof value !== 'object' || value === null) return false;
  const {life, exposure, agoMs, sentAgoMs} = value as Partial<CrashEnd>;
  const hasAges = isAge(agoMs) && isAge(sentAgoMs) && agoMs <= sentAgoMs;
  return isName(life) && EXPOSURES.has(exposure) && hasAges;
}

function isAge(value: unknown): value is number {
  return Number.isFinite(value) && (value as number) >= 0;
}

function isName(value: unknown): value is string {
  return (
    typeof value === 'string' &&
    value !== '' &&
    value.length <= MOST_NAME_CHARACTERS
  );
}

function isListOf<T>(
  value: unknown,
  isItem: (item: unknown) => item is T,
): value is readonly T[] {
  return (
    Array.isArray(value) && value.length <= MOST_LIVES && value.every(isItem)
  );
}
