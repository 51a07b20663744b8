import type {PolicySettings} from '@lilacledge/config';
import type {AdmissionRule, QueueRule} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';

const FIXED_RESERVE_SHARE = 0.2;

/** The rule of admission that a service's settings ask for. */
export function toAdmissionRule(policy: PolicySettings): AdmissionRule {
  const {admission, overflowChance} = policy;
  switch (admission) {
    case 'expected':
      return {kind: admission, overflowChance};
    case 'fixedReserve':
      return {kind: admission, reserveShare: FIXED_RESERVE_SHARE};
    case 'reserveMaximum':
    case 'free':
      return {kind: admission};
    default:
      return assertNever(admission);
  }
}

/** The order of the queue that a service's settings ask for. */
export function toQueueRule(policy: PolicySettings): QueueRule {
  const {queue, ageingMs} = policy;
  return queue === 'leastAttained' ? {kind: queue, ageingMs} : {kind: queue};
}
