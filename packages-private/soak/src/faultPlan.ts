import {createRandom} from '@lilacledge/shared';
import type {Random} from '@lilacledge/shared';
import type {AnswerFault} from './answerFaults.js';
import type {IdentityFault} from './identityFaults.js';
import type {LinkFault} from './loopbackProxy.js';
import type {SheddingFault} from './sheddingFaults.js';
import type {ZoneFault} from './zoneFaults.js';

/** What can go wrong from outside the programs. */
export type FaultKind =
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
  | SheddingFault
  | ZoneFault;

/** Faults that leave every entry in step with the store and with endpoints. */
const HARMLESS_KINDS: ReadonlySet<FaultKind['kind']> = new Set([
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
]);

/** True for a fault in which an entry may not hear of a leave in time. */
export function isDisturbance({kind}: FaultKind): boolean {
  return !HARMLESS_KINDS.has(kind);
}

/** One fault of a run; faults may overlap. */
export interface PlannedFault {
  readonly what: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
  /** Chooses the target among those of the kind. */
  readonly target: number;
}

const LINK_FAULTS: readonly LinkFault[] = [
  {kind: 'delayed', delayMs: 40},
  {kind: 'delayed', delayMs: 400},
  {kind: 'reset'},
  {kind: 'silent'},
  {kind: 'answersLost'},
];

const PLAIN_FAULTS: readonly FaultKind[] = [
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
  // Engines are taken away far more often than anything else happens.
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

/** Mean pause between the beginnings of two faults. */
const MEAN_GAP_MS = 700;

/** Faults last for some time between these. */
const SHORTEST_MS = 300;
const LONGEST_MS = 4_000;

/** The faults of one run; the same for the same seed. */
export function planFaults(seed: number, durationMs: number): PlannedFault[] {
  const random = createRandom(seed);
  const faults: PlannedFault[] = [];
  let atMs = MEAN_GAP_MS;
  while (atMs < durationMs) {
    faults.push({
      what: drawKind(random),
      atMs: Math.round(atMs),
      forMs: Math.round(SHORTEST_MS + random() * (LONGEST_MS - SHORTEST_MS)),
      target: Math.floor(random() * 1_000),
    });
    atMs += -Math.log(1 - random()) * MEAN_GAP_MS;
  }
  return faults;
}

function drawKind(random: Random): FaultKind {
  const linkKinds = ['storeLink', 'engineLink', 'serviceLink'] as const;
  const count = PLAIN_FAULTS.length + linkKinds.length;
  const drawn = Math.floor(random() * count);
  const plain = PLAIN_FAULTS[drawn];
  if (plain !== undefined) return plain;
  const fault = LINK_FAULTS[Math.floor(random() * LINK_FAULTS.length)]!;
  return {kind: linkKinds[drawn - PLAIN_FAULTS.length]!, fault};
}
