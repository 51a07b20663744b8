import type {ActiveConfig} from '../config/activeConfig.js';
import type {Logger} from '../log/boundedLog.js';
import type {EndpointRecord} from '../model/index.js';
import type {StoreItem, WireCodec} from '../ports.js';
import type {EndpointDirectory} from './endpointDirectory.js';

/** A registration for a service that is not configured yet. */
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

  constructor(
    private readonly endpoints: EndpointDirectory,
    private readonly config: Pick<ActiveConfig, 'current' | 'onChange'>,
    private readonly codec: WireCodec,
    private readonly log: Logger,
  ) {
    config.onChange(() => this.applyPending());
  }

  /** Applies a written value that the store did not hold yet at `unchangedAtMs`. */
  written(item: StoreItem, unchangedAtMs: number): void {
    const {key, value, revision} = item;
    const id = this.codec.endpointIdOf(key);
    this.pending.delete(id);
    const decoded = this.codec.decodeEndpoint(key, value);
    if (!decoded.ok) {
      const {problem} = decoded;
      this.log.warn('endpoint.refused', {endpoint: id, revision, problem});
      this.endpoints.invalidate(id);
      return;
    }
    const record = decoded.value;
    if (this.isServiceConfigured(record)) {
      this.endpoints.upsert(record, revision, unchangedAtMs);
      return;
    }
    const {service} = record;
    this.log.info('endpoint.setAside', {endpoint: id, revision, service});
    this.pending.set(id, {record, revision, unchangedAtMs});
    this.endpoints.invalidate(id);
  }

  /** Applies the deletion of a key that the store still held at `unchangedAtMs`. */
  deleted(key: string, unchangedAtMs: number): void {
    const id = this.codec.endpointIdOf(key);
    this.pending.delete(id);
    this.endpoints.remove(id, unchangedAtMs);
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
