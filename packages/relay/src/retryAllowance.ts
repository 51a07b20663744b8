import type {RetryAllowance} from '@lilacledge/policy';
import type {RelaySettings} from './settings.js';
import type {Switches} from './switches.js';

/**
 * The retries that the settings allow. Evaluated at each use, since a reload of the settings file
 * may change the values.
 */
export function retryAllowance(
  settings: RelaySettings,
  switches: Switches,
): RetryAllowance {
  return {
    get retryRatio() {
      return settings.retryRatio;
    },
    get retryWindowMs() {
      return settings.retryWindowMs;
    },
    get retrySlack() {
      return switches.retrySlack ? settings.retrySlack : 0;
    },
  };
}
