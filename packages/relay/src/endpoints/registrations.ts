import {formerRegistrationHoldMs, plausibleStartMs} from '@lilacledge/policy';
import type {CancelTimer, Clock} from '@lilacledge/shared';
import type {ActiveConfig} from '../config/activeConfig.js';
import type {ApplyItem} from '../config/storeWatcher.js';
import type {Logger} from '../log/boundedLog.js';
import {EndpointState} from '../model/index.js';
import type {EndpointRecord} from '../model/index.js';
import type {Decoded, StoreItem, WireCodec} from '../ports.js';
import type {EndpointDirectory} from './endpointDirectory.js';

/** A registration for a service that is not configured yet, or that may be outdated. */
interface PendingRegistration {
  readonly record: EndpointRecord;
  readonly revision: number;
  readonly unchangedAtMs: number;
}

/**
 * Decides which values below the store prefix of endpoints are valid registrations. Other
 * programs may write below it too: unreadable values and registrations for services that
 * are not configured are not used. An endpoint whose key holds such a value gets no new
 * work until the key holds a valid registration again; other endpoints are unaffected.
 */
export class Registrations {
  private readonly pending = new Map<string, PendingRegistration>();
  /** Registrations in a restored store of endpoints that had left. */
  private readonly restored = new Map<string, PendingRegistration>();
  /** Ends the time after a restore; undefined at other times. */
  private cancelRestored: CancelTimer | undefined;

  constructor(
    private readonly endpoints: EndpointDirectory,
    private readonly config: Pick<ActiveConfig, 'current' | 'onChange'>,
    private readonly codec: WireCodec,
    private readonly log: Logger,
    private readonly clock: Clock,
    private readonly heartbeatMs: () => number,
  ) {
    config.onChange(() => this.applyPending());
  }

  /**
   * The store was restored from an older copy. It may have registrations of endpoints that had
   * left, which only those that live on will renew.
   */
  noteStoreRestored(): void {
    this.cancelRestored?.();
    const holdMs = formerRegistrationHoldMs(this.heartbeatMs());
    this.cancelRestored = this.clock.after(holdMs, () => {
      this.cancelRestored = undefined;
      this.applyRestored();
    });
  }

  /** Reads a written value; the result applies it. */
  read({key, value, revision}: StoreItem): ApplyItem {
    const decoded = this.codec.decodeEndpoint(key, value);
    const id = this.codec.endpointIdOf(key);
    return (unchangedAtMs) =>
      this.applyDecoded(id, decoded, revision, unchangedAtMs);
  }

  /** Applies a value that the store did not hold yet at `unchangedAtMs`. */
  private applyDecoded(
    id: string,
    decoded: Decoded<EndpointRecord>,
    revision: number,
    unchangedAtMs: number,
  ): void {
    this.forget(id);
    if (!decoded.ok) {
      const {problem} = decoded;
      this.log.warn('endpoint.refused', {endpoint: id, revision, problem});
      this.endpoints.invalidate(id);
      return;
    }
    const record = this.withPlausibleStart(decoded.value);
    if (this.mayBeOutdated(record)) {
      this.log.info('endpoint.setAside', {
        endpoint: id,
        revision,
        cause: 'left',
      });
      this.restored.set(id, {record, revision, unchangedAtMs});
      return;
    }
    this.apply({record, revision, unchangedAtMs});
  }

  /** Applies the deletion of a key that the store still held at `unchangedAtMs`. */
  deleted(key: string, unchangedAtMs: number): void {
    const id = this.codec.endpointIdOf(key);
    this.forget(id);
    this.endpoints.remove(id, unchangedAtMs);
  }

  private forget(id: string): void {
    this.pending.delete(id);
    this.restored.delete(id);
  }

  /**
   * A start time far ahead counts as missing. That of the known incarnation holds, also if the
   * clock of this process was set back since.
   */
  private withPlausibleStart(record: EndpointRecord): EndpointRecord {
    const {id, startedAtMs: toldMs} = record;
    if (this.endpoints.get(id)?.record.startedAtMs === toldMs) return record;
    const startedAtMs = plausibleStartMs(toldMs, this.clock.wallMs());
    if (startedAtMs === toldMs) return record;
    const fields = {endpoint: id, startedAtMs: toldMs};
    this.log.warn('endpoint.startIgnored', fields);
    return {...record, startedAtMs};
  }

  /** True for a ready registration that may be from before its endpoint left. */
  private mayBeOutdated(record: EndpointRecord): boolean {
    return (
      this.cancelRestored !== undefined &&
      record.state === EndpointState.READY &&
      this.endpoints.hasLeft(record)
    );
  }

  /** Applies registrations that the store still holds: their endpoints live. */
  private applyRestored(): void {
    const restored = [...this.restored.values()];
    this.restored.clear();
    for (const registration of restored) this.apply(registration);
  }

  /** Applies a valid registration, or sets it aside until its service is configured. */
  private apply(registration: PendingRegistration): void {
    const {record, revision, unchangedAtMs} = registration;
    if (this.isServiceConfigured(record)) {
      this.endpoints.upsert(record, revision, unchangedAtMs);
      return;
    }
    const {id, service} = record;
    this.log.info('endpoint.setAside', {endpoint: id, revision, service});
    this.pending.set(id, registration);
    this.endpoints.invalidate(id);
  }

  private isServiceConfigured({service}: EndpointRecord): boolean {
    return this.config.current?.namesService(service) ?? false;
  }

  /** Applies pending registrations whose services are now configured. */
  private applyPending(): void {
    for (const [id, {record, revision, unchangedAtMs}] of [...this.pending]) {
      if (!this.isServiceConfigured(record)) continue;
      this.pending.delete(id);
      this.endpoints.upsert(record, revision, unchangedAtMs);
    }
  }
}
