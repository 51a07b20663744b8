/** What the platform does with calls; set by command. */
export interface PlatformFaults {
  /** Calls get no answer and have no effect. */
  isDown: boolean;
  /** Each call is delayed by this. */
  delayMs: number;
  /** Writes take effect, but their answers are lost; this many of them. */
  lostAnswers: number;
  /** The membership list is frozen as it is. */
  isMembershipFrozen: boolean;
}

export const NO_FAULTS: PlatformFaults = {
  isDown: false,
  delayMs: 0,
  lostAnswers: 0,
  isMembershipFrozen: false,
};
