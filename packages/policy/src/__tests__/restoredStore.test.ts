import {describe, expect, it} from 'vitest';
import {formerRegistrationHoldMs} from '../restoredStore.js';

describe('formerRegistrationHoldMs', () => {
  it.each([400, 1_200, 5_000])(
    'outlasts the expiry of a registration with heartbeats of %i ms',
    (heartbeatMs) => {
      const expiryMs = 3 * heartbeatMs;
      expect(formerRegistrationHoldMs(heartbeatMs)).toBeGreaterThan(expiryMs);
    },
  );
});
