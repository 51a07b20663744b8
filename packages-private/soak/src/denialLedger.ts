import type {Attempt} from './soakEvent.js';

/** The requirements tolerate this number plus this share of wrongly denied requests. */
const TOLERATED_DENIALS = 5;
const DENIAL_SHARE = 1 / 500;

/** Statuses by which an entry states that the request has not run; they are no denials. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429]);

/** Counts requests that entries deny themselves, though every configuration allows them all. */
export class DenialLedger {
  private total = 0;
  private readonly denials: string[] = [];

  note({requestId, entry, status, signature}: Attempt): void {
    this.total++;
    const isFromEntry = signature === undefined;
    const isDenial =
      status >= 300 && status < 500 && !NOT_RUN_STATUSES.has(status);
    if (isFromEntry && isDenial) {
      this.denials.push(`${requestId} ${status} at ${entry}`);
    }
  }

  violations(): string[] {
    const {total, denials} = this;
    if (denials.length <= TOLERATED_DENIALS + total * DENIAL_SHARE) return [];
    const first = denials.slice(0, 3).join('; ');
    return [`${denials.length} of ${total} requests were denied: ${first}`];
  }
}
