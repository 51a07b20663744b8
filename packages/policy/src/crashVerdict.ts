/** Whether a request may be sent. */
export type CrashVerdict =
  | {readonly kind: 'free'}
  /** Endpoints crashed while they had it or one like it, perhaps by coincidence. */
  | {readonly kind: 'suspected'}
  /** It must not be sent for this long. */
  | {readonly kind: 'quarantined'; readonly forMs: number}
  /** One of all entries may send one such request, to test whether it still crashes endpoints. */
  | {readonly kind: 'onTrial'; readonly feature: string};

export const FREE: CrashVerdict = {kind: 'free'};

const GRAVITY: Readonly<Record<CrashVerdict['kind'], number>> = {
  free: 0,
  suspected: 1,
  onTrial: 2,
  quarantined: 3,
};

/** True if a request with this verdict is not sent, except on trial. */
export function isGrave({kind}: CrashVerdict): boolean {
  return GRAVITY[kind] >= GRAVITY.onTrial;
}

/** The graver of two verdicts; which of two trials is made does not depend on their order. */
export function graver(a: CrashVerdict, b: CrashVerdict): CrashVerdict {
  if (a.kind === 'quarantined' && b.kind === 'quarantined') {
    return a.forMs >= b.forMs ? a : b;
  }
  if (a.kind === 'onTrial' && b.kind === 'onTrial') {
    return a.feature <= b.feature ? a : b;
  }
  return GRAVITY[a.kind] >= GRAVITY[b.kind] ? a : b;
}
