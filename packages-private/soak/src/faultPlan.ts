import {createRandom} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import type {AnswerFault} from './answerFaults.js';
import type {IdentityFault} from './identityFaults.js';
import type {LinkFault} from './loopbackProxy.js';
import type {CombinedFault} from './combinedFaults.js';
import type {RestoreFault} from './restoreFaults.js';
import type {SheddingFault} from './sheddingFaults.js';
import type {ZoneFault} from './zoneFaults.js';

/** A fault outside the programs, with its parameters. */
export type Fault =
  | {readonly kind: 'storeLink'; readonly fault: LinkFault}
  | {readonly kind: 'storeBusy'}
  | {readonly kind: 'storeSilent'}
  | {readonly kind: 'storeLosesAnswers'}
  | {readonly kind: 'storeCompacted'}
  | {readonly kind: 'storeDownWithLapse'}
  | {readonly kind: 'entryStopped'}
  | {readonly kind: 'entryKilled'}
  | {readonly kind: 'entryPaused'}
  | {readonly kind: 'entryReloaded'}
  | {readonly kind: 'sidecarKilled'}
  | {readonly kind: 'sidecarPaused'}
  | {readonly kind: 'engineLink'; readonly fault: LinkFault}
  | {readonly kind: 'engineLeaves'}
  | {readonly kind: 'engineCrashes'}
  | {readonly kind: 'engineResets'}
  | {readonly kind: 'serviceLink'; readonly fault: LinkFault}
  | {readonly kind: 'serviceLeaves'}
  | {readonly kind: 'serviceFails'}
  | {readonly kind: 'configChange'}
  | {readonly kind: 'allEntriesKilled'}
  | AnswerFault
  | IdentityFault
  | CombinedFault
  | RestoreFault
  | SheddingFault
  | ZoneFault;

/** Faults that leave every entry connected to the store, endpoints and callers. */
const NON_DISTURBING_KINDS: ReadonlySet<Fault['kind']> = new Set([
  'sidecarKilled',
  'sidecarPaused',
  'engineLeaves',
  'engineCrashes',
  'engineResets',
  'serviceLeaves',
  'serviceFails',
  'configChange',
  'engineStartsAgain',
  'serviceStartsAgain',
  'strangeEntry',
  'zoneEvacuated',
  'endpointsShed',
  'endpointNamesRate',
  'endpointSaysLeave',
  'endpointAsksRest',
  'storeConnectionsSilent',
  'enginesSlow',
]);

/** True for a fault during which an entry may learn too late that an endpoint leaves. */
export function isDisturbance({kind}: Fault): boolean {
  return !NON_DISTURBING_KINDS.has(kind);
}

/** One fault of a run, with its time. Faults may overlap. */
export interface PlannedFault {
  readonly what: Fault;
  readonly atMs: number;
  readonly forMs: number;
  /** Index of the target, modulo the number of targets of the kind. */
  readonly target: number;
}

const LINK_FAULTS: readonly LinkFault[] = [
  {kind: 'delayed', delayMs: 40},
  {kind: 'delayed', delayMs: 400},
  {kind: 'reset'},
  {kind: 'silent'},
  {kind: 'answersLost'},
];

const NON_LINK_FAULTS: readonly Fault[] = [
  {kind: 'storeBusy'},
  {kind: 'storeSilent'},
  {kind: 'storeLosesAnswers'},
  {kind: 'storeCompacted'},
  {kind: 'storeDownWithLapse'},
  {kind: 'entryStopped'},
  {kind: 'entryKilled'},
  {kind: 'entryPaused'},
  {kind: 'entryReloaded'},
  {kind: 'sidecarKilled'},
  {kind: 'sidecarPaused'},
  {kind: 'engineLeaves'},
  // Drawn three times as often as the others: on the platform, engines leave far more often
  // than anything else happens.
  {kind: 'engineLeaves'},
  {kind: 'engineLeaves'},
  {kind: 'engineCrashes'},
  {kind: 'engineResets'},
  {kind: 'serviceLeaves'},
  {kind: 'serviceFails'},
  {kind: 'configChange'},
  {kind: 'configChange'},
  {kind: 'allEntriesKilled'},
];

/** Mean time between the starts of two faults. */
const MEAN_GAP_MS = 700;

/** Bounds of a fault's duration, which is drawn uniformly. */
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 4_000;

/** Plans the faults of one run, in order of time. The same seed gives the same faults. */
export function planFaults(seed: number, durationMs: number): PlannedFault[] {
  const random = createRandom(seed);
  const faults: PlannedFault[] = [];
  let atMs = MEAN_GAP_MS;
  while (atMs < durationMs) {
    faults.push({
      what: drawFault(random),
      atMs: Math.round(atMs),
      forMs: Math.round(
        MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS),
      ),
      target: Math.floor(random() * 1_000),
    });
    atMs += -Math.log(1 - random()) * MEAN_GAP_MS;
  }
  return faults;
}

function drawFault(random: Random): Fault {
  const linkKinds = ['storeLink', 'engineLink', 'serviceLink'] as const;
  const count = NON_LINK_FAULTS.length + linkKinds.length;
  const drawn = Math.floor(random() * count);
  const nonLinkFault = NON_LINK_FAULTS[drawn];
  if (nonLinkFault !== undefined) return nonLinkFault;
  const fault = LINK_FAULTS[Math.floor(random() * LINK_FAULTS.length)]!;
  return {kind: linkKinds[drawn - NON_LINK_FAULTS.length]!, fault};
}
