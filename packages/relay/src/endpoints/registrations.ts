import type {ConfigKeeper} from '../config/configKeeper.js';
import type {DecisionLogger} from '../log/boundedLog.js';
import type {EndpointRecord} from '../model/index.js';
import type {StoreItem, WireCodec} from '../ports.js';
import type {EndpointDirectory} from './endpointDirectory.js';

/** A registration of a service that the configuration does not name yet. */
interface SetAside {
  readonly record: EndpointRecord;
  readonly revision: number;
  readonly clearMs: number;
}

/**
 * Decides which entries below the endpoints' prefix name an endpoint to use. Other
 * writers may leave entries there: one that cannot be read, or that is of a service
 * that no configuration names, names none. What was known under its key gets no new
 * work until a good entry is there again; no other endpoint is touched.
 */
export class Registrations {
  private readonly setAside = new Map<string, SetAside>();

  constructor(
    private readonly endpoints: EndpointDirectory,
    private readonly config: Pick<ConfigKeeper, 'current' | 'onChange'>,
    private readonly codec: WireCodec,
    private readonly log: DecisionLogger,
  ) {
    config.onChange(() => this.takeNamed());
  }

  /** An entry was written, after `clearMs`. */
  written(item: StoreItem, clearMs: number): void {
    const {key, value, revision} = item;
    const id = this.codec.endpointIdOf(key);
    this.setAside.delete(id);
    const decoded = this.codec.decodeEndpoint(key, value);
    if (!decoded.ok) {
      const {problem} = decoded;
      this.log.warn('endpoint.refused', {endpoint: id, revision, problem});
      this.endpoints.disown(id);
      return;
    }
    const record = decoded.value;
    if (this.isNamed(record)) {
      this.endpoints.upsert(record, revision, clearMs);
      return;
    }
    const {service} = record;
    this.log.info('endpoint.setAside', {endpoint: id, revision, service});
    this.setAside.set(id, {record, revision, clearMs});
    this.endpoints.disown(id);
  }

  /** An entry is gone, which the store had at `clearMs`. */
  deleted(key: string, clearMs: number): void {
    const id = this.codec.endpointIdOf(key);
    this.setAside.delete(id);
    this.endpoints.remove(id, clearMs);
  }

  private isNamed({service}: EndpointRecord): boolean {
    return this.config.current?.namesService(service) ?? false;
  }

  /** A configuration came into force: it may name more services. */
  private takeNamed(): void {
    for (const [id, {record, revision, clearMs}] of [...this.setAside]) {
      if (!this.isNamed(record)) continue;
      this.setAside.delete(id);
      this.endpoints.upsert(record, revision, clearMs);
    }
  }
}
