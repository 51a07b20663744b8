import {KEY_SLOTS} from '@lilacledge/policy';
import type {SlotGrant} from '@lilacledge/protocol';
import type {KeyValueStore, StoredValue, StoreWrite} from '@lilacledge/store';
import type {Clock} from '@lilacledge/shared';
import type {Logger} from '@lilacledge/telemetry';
import type {SlotOwnership} from './keyedCalls.js';

/** The stored record of one key slot. */
interface SlotRecord {
  readonly holder: string;
  readonly instanceId: string;
  readonly address: string;
  readonly fromWallMs: number;
  readonly untilWallMs: number;
}

/** For how many consecutive rounds a slot was seen without a valid grant. */
interface ExpiryObservation {
  readonly rounds: number;
  readonly lastSeenMs: number;
}

interface OwnedSlot {
  record: SlotRecord;
  modRevision: number;
}

export interface SlotOwnerSettings {
  readonly service: string;
  readonly incarnation: string;
  readonly instanceId: string;
  /** `host:port` that this process listens on. */
  readonly address: string;
  readonly grantMs: number;
  readonly keySkewMs: number;
  /** Time between two rounds. */
  readonly roundIntervalMs: number;
}

/**
 * A slot is claimed once it was seen expired in this many consecutive rounds
 * after the first one, so that a running holder can write its grant again.
 */
const EXPIRY_CONFIRMATION_ROUNDS = 3;

/** The last moment that a `Date` can hold. */
const MAX_WALL_MS = 8.64e15;

const REGISTRATION_LEASE_MS = 15_000;
const MAX_RENEW_INTERVAL_MS = 60_000;

/**
 * Owns key slots through the platform's store. A record grants one incarnation
 * the keys of a slot that were minted in [from, until). The intervals of a slot
 * follow each other and never overlap, so a holder may keep using its own
 * interval while the store is unreachable, and after any pause.
 */
export class SlotOwner implements SlotOwnership {
  private readonly owned = new Map<number, OwnedSlot>();
  private readonly expiredSlots = new Map<number, ExpiryObservation>();
  private readonly newestAcceptedMs = new Map<number, number>();
  private leaseId: string | undefined;
  private isReleased = false;
  /** Called when the set of grants has changed. */
  onChange: () => void = () => {};

  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly settings: SlotOwnerSettings,
  ) {}

  grantOf(slot: number): SlotGrant | undefined {
    if (this.isReleased) return undefined;
    const owned = this.owned.get(slot);
    return owned === undefined ? undefined : toGrant(slot, owned.record);
  }

  grants(): SlotGrant[] {
    if (this.isReleased) return [];
    return [...this.owned].map(([slot, owned]) => toGrant(slot, owned.record));
  }

  accepted(slot: number, mintedMs: number): void {
    const newest = this.newestAcceptedMs.get(slot) ?? 0;
    this.newestAcceptedMs.set(slot, Math.max(newest, mintedMs));
  }

  /**
   * Registers this instance, renews owned slots, claims free ones, and releases
   * those beyond the fair share.
   */
  async runRound(): Promise<void> {
    if (this.isReleased) return;
    await this.registerInstance();
    const fairShare = Math.ceil(KEY_SLOTS / (await this.countInstances()));
    const records = await this.readRecords();
    for (let slot = 0; slot < KEY_SLOTS; slot++) {
      await this.updateSlot(slot, records.get(slot), fairShare);
    }
  }

  /** Releases all slots; accepted keys still belong to this incarnation. */
  async releaseAll(): Promise<void> {
    this.isReleased = true;
    this.onChange();
    for (const slot of [...this.owned.keys()]) await this.releaseSlot(slot);
    if (this.leaseId !== undefined) await this.store.revokeLease(this.leaseId);
  }

  private async updateSlot(
    slot: number,
    stored: StoredValue | undefined,
    fairShare: number,
  ): Promise<void> {
    if (this.owned.has(slot)) {
      if (this.owned.size > fairShare) await this.releaseSlot(slot);
      else await this.renew(slot, stored);
      return;
    }
    const fromWallMs = this.claimStartMs(slot, stored);
    if (fromWallMs === undefined || this.owned.size >= fairShare) return;
    await this.write(slot, stored?.modRevision ?? 0, fromWallMs);
  }

  /** Start of the interval that may be claimed now; undefined if none may. */
  private claimStartMs(
    slot: number,
    stored: StoredValue | undefined,
  ): number | undefined {
    const nowMs = this.clock.wallMs();
    const record = this.readRecord(stored);
    if (record !== undefined && this.isOwnPredecessor(record)) {
      // This process listens on its predecessor's port, so the predecessor is
      // dead. It accepted no key minted later than now plus the allowed skew.
      return nowMs + this.settings.keySkewMs + 1;
    }
    const isExpired = record === undefined || record.untilWallMs <= nowMs;
    if (!this.isExpiryConfirmed(slot, isExpired)) return undefined;
    return record?.untilWallMs ?? nowMs + this.settings.keySkewMs + 1;
  }

  /** A record that can't be read counts as missing: only its holder can write it again. */
  private readRecord(stored: StoredValue | undefined): SlotRecord | undefined {
    if (stored === undefined) return undefined;
    const record = parseRecord(stored);
    if (record === undefined) {
      const {key, modRevision} = stored;
      this.logger.warn('The record of a key slot can’t be read.', {
        key,
        modRevision,
      });
    }
    return record;
  }

  private isOwnPredecessor(record: SlotRecord): boolean {
    return (
      record.address === this.settings.address &&
      record.instanceId === this.settings.instanceId
    );
  }

  /**
   * After the store was restored to an older state, a running holder finds its
   * record missing or outdated and writes it again. The rounds leave it time to
   * do so before another instance claims the slot.
   */
  private isExpiryConfirmed(slot: number, isExpired: boolean): boolean {
    const nowMs = this.clock.nowMs();
    const seen = this.expiredSlots.get(slot);
    if (!isExpired) {
      this.expiredSlots.delete(slot);
      return false;
    }
    const isConsecutive =
      seen !== undefined &&
      nowMs - seen.lastSeenMs <= 2 * this.settings.roundIntervalMs;
    const rounds = isConsecutive ? seen.rounds + 1 : 0;
    this.expiredSlots.set(slot, {rounds, lastSeenMs: nowMs});
    return rounds >= EXPIRY_CONFIRMATION_ROUNDS;
  }

  private async renew(
    slot: number,
    stored: StoredValue | undefined,
  ): Promise<void> {
    const owned = this.owned.get(slot)!;
    const record = this.readRecord(stored);
    if (record !== undefined && record.holder !== owned.record.holder) {
      // Another claim is possible only after our own interval has ended.
      this.logger.warn('Key slot is owned by another instance.', {slot});
      this.drop(slot);
      return;
    }
    const remainingMs = owned.record.untilWallMs - this.clock.wallMs();
    const renewBelowMs = this.settings.grantMs - this.renewIntervalMs();
    const hasStoredChanged = stored?.modRevision !== owned.modRevision;
    if (remainingMs > renewBelowMs && !hasStoredChanged) return;
    await this.write(slot, stored?.modRevision ?? 0, owned.record.fromWallMs);
  }

  private renewIntervalMs(): number {
    return Math.min(MAX_RENEW_INTERVAL_MS, this.settings.grantMs / 4);
  }

  private async write(
    slot: number,
    modRevision: number,
    fromWallMs: number,
  ): Promise<void> {
    const {incarnation, instanceId, address, grantMs} = this.settings;
    const record: SlotRecord = {
      holder: incarnation,
      instanceId,
      address,
      fromWallMs,
      untilWallMs: Math.max(
        this.clock.wallMs() + grantMs,
        this.owned.get(slot)?.record.untilWallMs ?? 0,
      ),
    };
    const written = await this.swapRecord(slot, modRevision, record);
    if (written === undefined) return;
    this.owned.set(slot, {record, modRevision: written});
    this.expiredSlots.delete(slot);
    this.onChange();
  }

  private async releaseSlot(slot: number): Promise<void> {
    const owned = this.owned.get(slot)!;
    this.drop(slot);
    const newest = this.newestAcceptedMs.get(slot) ?? 0;
    const untilWallMs = Math.max(
      owned.record.fromWallMs,
      newest + 1,
      this.clock.wallMs(),
    );
    const record = {...owned.record, holder: '', address: '', untilWallMs};
    await this.swapRecord(slot, owned.modRevision, record);
  }

  private drop(slot: number): void {
    this.owned.delete(slot);
    this.onChange();
  }

  private async swapRecord(
    slot: number,
    modRevision: number,
    record: SlotRecord,
  ): Promise<number | undefined> {
    const key = this.prefix() + slot;
    const write: StoreWrite = {key, value: JSON.stringify(record)};
    const result = await this.store.compareAndSwap(
      [{key, modRevision}],
      [write],
    );
    return result.outcome === 'swapped' ? result.modRevision : undefined;
  }

  private async readRecords(): Promise<Map<number, StoredValue>> {
    const stored = await this.store.list(this.prefix());
    return new Map(
      stored.map((value) => [
        Number(value.key.slice(this.prefix().length)),
        value,
      ]),
    );
  }

  private async registerInstance(): Promise<void> {
    const isAlive =
      this.leaseId !== undefined &&
      (await this.store.keepLeaseAlive(this.leaseId)) > 0;
    if (isAlive) return;
    const leaseId = await this.store.grantLease(REGISTRATION_LEASE_MS);
    // Keyed by instance id, so that a restart is not counted as a second one.
    const key = this.instancePrefix() + this.settings.instanceId;
    await this.store.put({key, value: this.settings.incarnation, leaseId});
    this.leaseId = leaseId;
  }

  private async countInstances(): Promise<number> {
    const instances = await this.store.list(this.instancePrefix());
    return Math.max(1, instances.length);
  }

  private prefix(): string {
    return `lilacledge/slots/${this.settings.service}/`;
  }

  private instancePrefix(): string {
    return `lilacledge/homes/${this.settings.service}/`;
  }
}

function toGrant(slot: number, record: SlotRecord): SlotGrant {
  const {fromWallMs, untilWallMs} = record;
  return {slot, fromWallMs, untilWallMs};
}

/** Undefined for a value that is no record. */
function parseRecord({value}: StoredValue): SlotRecord | undefined {
  const record = parseJson(value);
  if (typeof record !== 'object' || record === null) return undefined;
  const {holder, instanceId, address, fromWallMs, untilWallMs} =
    record as Partial<SlotRecord>;
  const hasNames = [holder, instanceId, address].every(isText);
  const hasTimes = [fromWallMs, untilWallMs].every(isWallMs);
  return hasNames && hasTimes ? (record as SlotRecord) : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // The caller logs it like any other invalid value.
    return undefined;
  }
}

function isText(value: unknown): boolean {
  return typeof value === 'string';
}

function isWallMs(value: unknown): boolean {
  return typeof value === 'number' && value >= 0 && value <= MAX_WALL_MS;
}
