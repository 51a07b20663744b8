import {CHANGE_BATCHING_SHARE} from './leaveBound.js';

/** Completeness of a process's view of the endpoints. */
export const ViewState = {
  /** The view matches the registrations in the store. */
  SETTLED: 'settled',
  /** The store is reachable again, and endpoints register one by one. */
  RECOVERING: 'recovering',
  /** A configured service has no endpoint, so its calls are refused. */
  INCOMPLETE: 'incomplete',
} as const;
export type ViewState = (typeof ViewState)[keyof typeof ViewState];

/**
 * Longest batch delay while endpoints register again after an outage. All of them
 * register within one heartbeat, of which this is a tenth.
 */
const MAX_RECOVERING_DELAY_MS = 120;

/**
 * Pause after a response of the endpoint watch, in which further changes are batched.
 * Each response costs, so the pause is long while the view is settled.
 *
 * Prevents a slow recovery from a complete outage: if the pause of a settled view applied
 * during the recovery too, the first endpoint to register would delay the discovery of all
 * others by that pause, and all calls would be refused meanwhile.
 */
export function batchDelayMs(drainMs: number, view: ViewState): number {
  switch (view) {
    case ViewState.SETTLED:
      return drainMs * CHANGE_BATCHING_SHARE;
    case ViewState.RECOVERING:
      return Math.min(MAX_RECOVERING_DELAY_MS, drainMs * CHANGE_BATCHING_SHARE);
    case ViewState.INCOMPLETE:
      return 0;
  }
}
