import {
  AnnouncedLimit,
  RequestedBackoff,
  UnansweredSends,
} from '@lilacledge/policy';

/** State that one incarnation of an endpoint shows by its answers, or by leaving them out. */
export class AnnouncedState {
  /** Rate limit for all entries together. */
  readonly limit = new AnnouncedLimit();
  /** Time for which this entry must send it nothing. */
  readonly backoff = new RequestedBackoff();
  /** Sends of this entry that it has not answered. */
  readonly unanswered = new UnansweredSends();
  /** False while the directory does not hold the endpoint. */
  isInUse = true;
  private leaving: number | undefined;

  /** When it first announced that it is leaving; an incarnation never reverts that. */
  get leavingSinceMs(): number | undefined {
    return this.leaving;
  }

  noteLeaving(nowMs: number): void {
    this.leaving ??= nowMs;
  }
}
