import {assertNever} from '@lilacledge/shared';
import type {StoreFailure} from '../ports.js';

/** How the store treats new calls of the process under test. */
export const Reachability = {
  /** Calls are answered. */
  ANSWERING: 'answering',
  /** Calls are rejected at once. */
  REFUSING: 'refusing',
  /** Calls are never answered. */
  SILENT: 'silent',
} as const;
export type Reachability = (typeof Reachability)[keyof typeof Reachability];

/** What a call gets that the store does not answer. */
export function failureOf(
  reachability: typeof Reachability.REFUSING | typeof Reachability.SILENT,
): StoreFailure {
  switch (reachability) {
    case Reachability.REFUSING:
      return {kind: 'refused', status: 503};
    case Reachability.SILENT:
      return {kind: 'unanswered', detail: 'timeout'};
    default:
      return assertNever(reachability);
  }
}
