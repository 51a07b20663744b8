/**
 * Decides how long a process keeps to what it knew before the metadata store was restored from
 * an older copy. What the store lacks then is not withdrawn, and what it has again is not new,
 * until those who wrote it had time to write it again.
 */

/**
 * How long an operator's order stays in force that the store lacks. Operators write again what
 * was lost; without a limit, an order that they had withdrawn would never end.
 */
export const LOST_ORDER_TTL_MS = 5_000;

/** The store removes a registration that is not renewed for three heartbeats. */
const HEARTBEATS_TO_EXPIRY = 3;

/**
 * How long the registration of an endpoint that had left is not used: a heartbeat longer than
 * the store keeps it if the endpoint is gone.
 */
export function formerRegistrationHoldMs(heartbeatMs: number): number {
  return (HEARTBEATS_TO_EXPIRY + 1) * heartbeatMs;
}
