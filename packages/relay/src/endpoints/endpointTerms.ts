import {AskedRest, StatedLimit} from '@lilacledge/policy';

/** What one life of an endpoint says of itself in its answers. */
export class EndpointTerms {
  /** The rate that it takes from all entries together. */
  readonly limit = new StatedLimit();
  /** The time for which it wants nothing from this entry. */
  readonly rest = new AskedRest();
  /** False once the endpoint is no longer known, until it is seen again. */
  isInUse = true;
  private leaving: number | undefined;

  /** When it first said that it leaves, which it does not take back. */
  get leavingSinceMs(): number | undefined {
    return this.leaving;
  }

  noteLeaving(nowMs: number): void {
    this.leaving ??= nowMs;
  }
}
