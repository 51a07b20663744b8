import {createHash} from 'node:crypto';
import type {Call, SlotGrant} from '@lilacledge/protocol';
import {decideUnknownKey, slotOfKey} from '@lilacledge/policy';
import type {Clock, Failure} from '@lilacledge/shared';
import {
  FailureKind,
  mayHaveRun,
  mintTimeMs,
  notRun,
  Verdict,
} from '@lilacledge/shared';
import {EndpointError} from './ports/endpointError.js';
import type {PlainPort, PlainResponse} from './ports/plainPort.js';

/** Outcome of a call, as sent to its caller. */
export type CallOutcome =
  | {
      readonly kind: 'answered';
      readonly response: PlainResponse;
      readonly isReplay: boolean;
    }
  | {readonly kind: 'failed'; readonly failure: Failure};

interface KeyRecord {
  readonly mintedMs: number;
  readonly digest: string;
  readonly outcome: Promise<CallOutcome>;
}

/** Looks up which key slots this sidecar owns. */
export interface SlotOwnership {
  grantOf(slot: number): SlotGrant | undefined;
  /** Records that a key of the slot was accepted. */
  accepted(slot: number, mintedMs: number): void;
}

export interface KeyedCallsSettings {
  readonly keySkewMs: number;
  readonly maxKeyRecords: number;
}

/**
 * Runs calls that must not be repeated, each at most once per idempotency key.
 * The record of a key is created before its call is forwarded, and is deleted
 * only if the call is known not to have run or if there are too many records.
 */
export class KeyedCalls {
  private readonly records = new Map<string, KeyRecord>();
  private evictedBeforeMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly plain: PlainPort,
    private readonly slots: SlotOwnership,
    private readonly settings: KeyedCallsSettings,
  ) {}

  get recordCount(): number {
    return this.records.size;
  }

  async call(call: Call): Promise<CallOutcome> {
    const id = `${call.organisationId}|${call.key.toLowerCase()}`;
    const digest = digestOf(call);
    const known = this.records.get(id);
    if (known !== undefined) return this.answerFromRecord(known, digest);
    const slot = slotOfKey(call.organisationId, call.key);
    const decision = decideUnknownKey({
      key: call.key,
      interval: this.slots.grantOf(slot),
      forgottenBeforeWallMs: this.evictedBeforeMs,
      nowWallMs: this.clock.wallMs(),
      maxClockLeadMs: this.settings.keySkewMs,
    });
    if (decision.outcome === 'refuse') {
      return {kind: 'failed', failure: decision.failure};
    }
    this.slots.accepted(slot, mintTimeMs(call.key)!);
    return this.runOnce(id, digest, call);
  }

  private runOnce(
    id: string,
    digest: string,
    call: Call,
  ): Promise<CallOutcome> {
    const mintedMs = mintTimeMs(call.key)!;
    const outcome = this.run(id, call);
    this.records.set(id, {mintedMs, digest, outcome});
    this.evictOldest();
    return outcome;
  }

  private async run(id: string, call: Call): Promise<CallOutcome> {
    try {
      const response = await this.plain.call(call);
      return {kind: 'answered', response, isReplay: false};
    } catch (error) {
      const failure = toFailure(error);
      if (failure.verdict === Verdict.NOT_RUN) this.records.delete(id);
      return {kind: 'failed', failure};
    }
  }

  private async answerFromRecord(
    record: KeyRecord,
    digest: string,
  ): Promise<CallOutcome> {
    if (record.digest !== digest) {
      const failure = notRun(
        FailureKind.KEY_REUSED,
        'the key was used before with another request',
      );
      return {kind: 'failed', failure};
    }
    const outcome = await record.outcome;
    return outcome.kind === 'answered' ? {...outcome, isReplay: true} : outcome;
  }

  /**
   * Evicts the oldest records beyond the limit. Keys minted no later than an
   * evicted one are refused from then on, so that no call runs twice.
   */
  private evictOldest(): void {
    if (this.records.size <= this.settings.maxKeyRecords) return;
    const byAge = [...this.records].sort(
      ([, a], [, b]) => a.mintedMs - b.mintedMs,
    );
    const excess = Math.ceil(this.settings.maxKeyRecords / 10);
    for (const [id, record] of byAge.slice(0, excess)) {
      this.records.delete(id);
      this.evictedBeforeMs = Math.max(
        this.evictedBeforeMs,
        record.mintedMs + 1,
      );
    }
  }
}

/** Runs a call that has no idempotency key. */
export async function callWithoutKey(
  plain: PlainPort,
  call: Call,
): Promise<CallOutcome> {
  try {
    const response = await plain.call(call);
    return {kind: 'answered', response, isReplay: false};
  } catch (error) {
    return {kind: 'failed', failure: toFailure(error)};
  }
}

function toFailure(error: unknown): Failure {
  const verdict =
    error instanceof EndpointError ? error.verdict : Verdict.MAY_HAVE_RUN;
  const createFailure = verdict === Verdict.NOT_RUN ? notRun : mayHaveRun;
  return createFailure(FailureKind.ENDPOINT_FAILED, String(error), 1_000);
}

function digestOf(call: Call): string {
  return createHash('sha256')
    .update(`${call.method}\n${call.path}\n${call.contentType}\n`)
    .update(call.body)
    .digest('base64url');
}
