import {Exposure} from '@lilacledge/policy';
import type {CrashReport, Suspicion} from '@lilacledge/policy';

/**
 * Maximum length of names of features and incarnations in messages. The longest id of an endpoint
 * has 200 characters, and the name of its incarnation ends with the start time.
 */
const MAX_NAME_LENGTH = 256;

/** Maximum length of the lists of incarnations in one message. */
const MAX_INCARNATIONS = 256;

/** Number of features besides the reported one that earlier builds read too. */
export const MAX_SHORT_COMPANY = MAX_INCARNATIONS;

/** Maximum number of features that one request has besides the reported one. */
const MAX_COMPANY = 16_384;

const EXPOSURES: ReadonlySet<unknown> = new Set(Object.values(Exposure));

/** Validates a suspicion from another process; undefined if it is malformed. */
export function parseSuspicion(value: unknown): Suspicion | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const {fingerprint, ends, cleared} = value as Partial<Suspicion>;
  if (!isName(fingerprint) || !isListOf(ends, isCrashEnd)) return undefined;
  if (!isListOf(cleared, isName)) return undefined;
  return {fingerprint, ends, cleared};
}

/** True for a valid report of the end of an incarnation. */
export function isCrashEnd(value: unknown): value is CrashReport {
  if (typeof value !== 'object' || value === null) return false;
  const {
    life,
    exposure,
    agoMs,
    sentAgoMs,
    company,
    share,
    promptParts,
    companyPercents,
    knownLives,
  } = value as Partial<CrashReport>;
  const hasAges = isAmount(agoMs) && isAmount(sentAgoMs) && agoMs <= sentAgoMs;
  // MessagePack decodes undefined as null.
  const hasCompany =
    (company ?? undefined) === undefined ||
    isListOf(company, isName, MAX_COMPANY);
  const hasPromptParts =
    (promptParts ?? undefined) === undefined || isAmount(promptParts);
  const hasPercents =
    (companyPercents ?? undefined) === undefined ||
    isListOf(companyPercents, isAmount, MAX_COMPANY);
  const hasKnownLives =
    (knownLives ?? undefined) === undefined || isListOf(knownLives, isName);
  const hasShare = (share ?? undefined) === undefined || isShare(share);
  return (
    isName(life) &&
    EXPOSURES.has(exposure) &&
    hasAges &&
    hasCompany &&
    hasShare &&
    hasPromptParts &&
    hasPercents &&
    hasKnownLives
  );
}

function isShare(value: unknown): boolean {
  return isAmount(value) && value <= 1;
}

function isAmount(value: unknown): value is number {
  return Number.isFinite(value) && (value as number) >= 0;
}

function isName(value: unknown): value is string {
  return (
    typeof value === 'string' && value !== '' && value.length <= MAX_NAME_LENGTH
  );
}

function isListOf<T>(
  value: unknown,
  isItem: (item: unknown) => item is T,
  maxLength = MAX_INCARNATIONS,
): value is readonly T[] {
  return (
    Array.isArray(value) && value.length <= maxLength && value.every(isItem)
  );
}
