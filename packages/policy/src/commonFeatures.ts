import type {Explanation} from './crashedPrompts.js';
import type {RecordedCrash} from './crashReports.js';

/** Parts of an explanation whose shares are compared. */
const MAX_COMPARED_SHARES = 32;

/** Features that requests have had in common in all crashes under one of them. */
export interface CommonFeatures {
  /** Includes the one that they have been determined for. */
  readonly features: readonly string[];
  readonly isPart: boolean;
  readonly crashes: readonly RecordedCrash[];
  /** Parts of the crashed prompts that are not in common, if there may be many. */
  readonly otherParts?: number;
}

/** The crashes of prompts, each with the share of the part that fewest requests had then. */
export function toCommonFeatures({
  prompts,
  parts,
  otherParts,
}: Explanation): CommonFeatures {
  const compared = parts.slice(0, MAX_COMPARED_SHARES);
  const crashes = prompts.map((prompt) => {
    const shares = compared.map((part) => prompt.parts.get(part)!);
    return {...prompt.crash, share: Math.min(...shares)};
  });
  return {features: parts, isPart: true, crashes, otherParts};
}

/** True if all crashes of `common` happened under the features of `other` too. */
export function coversLives(
  other: CommonFeatures,
  common: CommonFeatures,
): boolean {
  const lives = new Set(other.crashes.map(({life}) => life));
  return common.crashes.every(({life}) => lives.has(life));
}
