import type {PolicySettings} from '@lilacledge/config';
import type {AdmissionRule, QueueRule} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';

/** Share of the engine's memory that `fixedReserve` keeps free. */
const FIXED_RESERVE_MEMORY_SHARE = 0.2;

/** Converts the settings of a service to its admission rule. */
export function toAdmissionRule(policy: PolicySettings): AdmissionRule {
  const {admission, overflowChance} = policy;
  switch (admission) {
    case 'expected':
      return {kind: admission, overflowChance};
    case 'fixedReserve':
      return {kind: admission, reserveShare: FIXED_RESERVE_MEMORY_SHARE};
    case 'reserveMaximum':
    case 'free':
      return {kind: admission};
    default:
      return assertNever(admission);
  }
}

/** Converts the settings of a service to its queue order. */
export function toQueueRule(policy: PolicySettings): QueueRule {
  const {queue, ageingMs} = policy;
  return queue === 'leastAttained' ? {kind: queue, ageingMs} : {kind: queue};
}
