/**
 * Faults of the platform; the stand-in over HTTP sets them by `POST /control`.
 */
export interface PlatformFaults {
  /** Store calls get no answer and have no effect. */
  isDown: boolean;
  /** Additional delay of each store call. */
  delayMs: number;
  /**
   * Number of writes still to come that take effect but whose answer is lost.
   */
  lostAnswers: number;
  /**
   * Readers get the membership list that was last read before this fault began;
   * only the stand-in over HTTP does this.
   */
  isMembershipFrozen: boolean;
}

export const NO_FAULTS: PlatformFaults = {
  isDown: false,
  delayMs: 0,
  lostAnswers: 0,
  isMembershipFrozen: false,
};
