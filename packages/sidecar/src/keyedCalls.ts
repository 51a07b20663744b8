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

/** Outcome of a call for its caller. */
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

/** Where the ownership of slots is known. */
export interface SlotBook {
  grantOf(slot: number): SlotGrant | undefined;
  /** Notes that a key of the slot was accepted. */
  accepted(slot: number, mintedMs: number): void;
}

export interface KeyedCallsSettings {
  readonly keySkewMs: number;
  readonly maxKeyRecords: number;
}

/**
 * Runs calls that may not be repeated at most once per key. A key's record is
 * made before its call is passed on, and is never taken back unless the call
 * is known not to have been sent.
 */
export class KeyedCalls {
  private readonly records = new Map<string, KeyRecord>();
  private forgottenBeforeMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly plain: PlainPort,
    private readonly slots: SlotBook,
    private readonly settings: KeyedCallsSettings,
  ) {}

  get recordCount(): number {
    return this.records.size;
  }

  async call(call: Call): Promise<CallOutcome> {
    const id = `${call.organisationId}|${call.key.toLowerCase()}`;
    const digest = digestOf(call);
    const known = this.records.get(id);
    if (known !== undefined) return this.answerKnown(known, digest);
    const slot = slotOfKey(call.organisationId, call.key);
    const decision = decideUnknownKey({
      key: call.key,
      interval: this.slots.grantOf(slot),
      forgottenBeforeWallMs: this.forgottenBeforeMs,
      nowWallMs: this.clock.wallMs(),
      skewMs: this.settings.keySkewMs,
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
    this.forgetOldest();
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

  private async answerKnown(
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

  /** Keeps the records within bounds; what is forgotten is never run again. */
  private forgetOldest(): void {
    if (this.records.size <= this.settings.maxKeyRecords) return;
    const byAge = [...this.records].sort(
      ([, a], [, b]) => a.mintedMs - b.mintedMs,
    );
    const excess = Math.ceil(this.settings.maxKeyRecords / 10);
    for (const [id, record] of byAge.slice(0, excess)) {
      this.records.delete(id);
      this.forgottenBeforeMs = Math.max(
        this.forgottenBeforeMs,
        record.mintedMs + 1,
      );
    }
  }
}

/** Runs a call that may be repeated. */
export async function callFreely(
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
  const build = verdict === Verdict.NOT_RUN ? notRun : mayHaveRun;
  return build(FailureKind.ENDPOINT_FAILED, String(error), 1_000);
}

function digestOf(call: Call): string {
  return createHash('sha256')
    .update(`${call.method}\n${call.path}\n${call.contentType}\n`)
    .update(call.body)
    .digest('base64url');
}
