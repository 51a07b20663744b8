import {GATHER_SHARE} from './leaveBound.js';

/** How current a process's view of the endpoints is. */
export const ViewState = {
  /** Registrations are as the store has them. */
  SETTLED: 'settled',
  /** The store came back just now, and registrations come back one by one. */
  UNSETTLED: 'unsettled',
  /** A service of the configuration has no endpoint: its calls are refused. */
  LACKING: 'lacking',
} as const;
export type ViewState = (typeof ViewState)[keyof typeof ViewState];

/**
 * The same while registrations return after an outage: a tenth of the pause
 * between two heartbeats of an endpoint, in which they all return.
 */
const UNSETTLED_MS = 120;

/**
 * Pause after an answer of the watch for endpoints, in milliseconds, in which
 * more changes gather. Each answer is paid for, so a settled view can wait; a
 * view that is still filling cannot.
 *
 * Answers the pattern of a slow recovery after an outage of everything at once:
 * the first endpoint that registers again must not hold back the knowledge of
 * all others for one settled pause, in which all calls would be refused.
 */
export function gatherMs(drainMs: number, view: ViewState): number {
  switch (view) {
    case ViewState.SETTLED:
      return drainMs * GATHER_SHARE;
    case ViewState.UNSETTLED:
      return Math.min(UNSETTLED_MS, drainMs * GATHER_SHARE);
    case ViewState.LACKING:
      return 0;
  }
}
