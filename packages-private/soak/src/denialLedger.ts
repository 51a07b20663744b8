import type {Attempt} from './soakEvent.js';

/** So many of all requests may be denied though every configuration allows them (stated). */
const FREE_DENIALS = 5;
const DENIED_SHARE = 1 / 500;

/** Own answers of this kind that promise that nothing has run; they deny nothing. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429]);

/** Requests that an entry denies by itself; all that callers send is allowed. */
export class DenialLedger {
  private asked = 0;
  private readonly denied: string[] = [];

  note({requestId, entry, status, signature}: Attempt): void {
    this.asked++;
    const isOwn = signature === undefined;
    const isDenial = status >= 300 && status < 500 && !PROMISES.has(status);
    if (isOwn && isDenial) {
      this.denied.push(`${requestId} ${status} at ${entry}`);
    }
  }

  violations(): string[] {
    const {asked, denied} = this;
    if (denied.length <= FREE_DENIALS + asked * DENIED_SHARE) return [];
    const first = denied.slice(0, 3).join('; ');
    return [`${denied.length} of ${asked} requests were denied: ${first}`];
  }
}
