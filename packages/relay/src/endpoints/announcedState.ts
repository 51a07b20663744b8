import {RequestedBackoff, AnnouncedLimit} from '@lilacledge/policy';

/** State that one incarnation of an endpoint announces in its answers. */
export class AnnouncedState {
  /** Rate limit for all entries together. */
  readonly limit = new AnnouncedLimit();
  /** Time for which this entry must send it nothing. */
  readonly backoff = new RequestedBackoff();
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
