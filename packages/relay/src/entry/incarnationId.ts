import type {Random} from '@lilacledge/shared';
import type {RelaySettings} from '../settings.js';

/** Identifies this incarnation of the process; the instance name survives restarts. */
export function createIncarnationId(
  {instanceName}: RelaySettings,
  random: Random,
): string {
  const suffix = Math.floor(random() * Number.MAX_SAFE_INTEGER);
  return `${instanceName} ${suffix.toString(36)}`;
}
