import {leavesRoom} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';

/** The time for which one waiting request has found room without interruption. */
export class FoundRoomTimer {
  private sinceMs: number | undefined;

  constructor(private readonly clock: Pick<Clock, 'nowMs'>) {}

  /** Whether the request, above its organisation's share, leaves the room to others. */
  leavesRoom(places: number, needTokens: number, owedTokens: number): boolean {
    if (places === 0) {
      this.sinceMs = undefined;
      return false;
    }
    const nowMs = this.clock.nowMs();
    this.sinceMs ??= nowMs;
    const foundForMs = nowMs - this.sinceMs;
    return leavesRoom({places, foundForMs, needTokens, owedTokens});
  }
}
