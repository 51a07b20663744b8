/** Why a run is moved. */
export const MoveReason = {
  /** Its engine is leaving. */
  LEAVE: 'leave',
  /** Another engine would keep its pauses. */
  BALANCE: 'balance',
} as const;
export type MoveReason = (typeof MoveReason)[keyof typeof MoveReason];
