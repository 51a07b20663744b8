import type {Clock} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {Peer} from './peerMesh.js';

/**
 * Timeout of a load query: ten round trips between zones (2 ms), so that a busy process
 * can answer and a dead one causes little delay.
 */
const ANSWER_TIMEOUT_MS = 20;

/** A prompt that will be sent to one of the queried engines. */
export interface QueriedPrompt {
  readonly requestId: string;
  readonly promptTokens: number;
  /** Priority at the engine, 0 first; undefined for the engine's default. */
  readonly enginePriority?: number;
}

/** Queries sidecars for the current loads of their engines. */
export class LoadQueries {
  /** Callbacks of the pending queries, by endpoint. */
  private readonly waiting = new Map<Endpoint, Set<() => void>>();

  constructor(
    private readonly sidecarOf: (endpoint: Endpoint) => Peer | undefined,
    private readonly clock: Clock,
  ) {}

  /** Completes the pending queries of an endpoint, whose load was received. */
  noteLoad(endpoint: Endpoint): void {
    const waiting = this.waiting.get(endpoint);
    if (waiting === undefined) return;
    this.waiting.delete(endpoint);
    for (const finishQuery of waiting) finishQuery();
  }

  /**
   * Resolves once the current loads of these endpoints were received, or the timeout has
   * passed. Endpoints without a link to their sidecars are skipped.
   */
  async query(
    endpoints: readonly Endpoint[],
    prompt: QueriedPrompt,
  ): Promise<void> {
    const targets = endpoints.flatMap((endpoint) => {
      const sidecar = this.sidecarOf(endpoint);
      return sidecar === undefined ? [] : [{endpoint, sidecar}];
    });
    await Promise.all(
      targets.map(({endpoint, sidecar}) =>
        this.querySidecar(endpoint, sidecar, prompt),
      ),
    );
  }

  /** Ends the counting of the prompt at queried engines. */
  release(endpoints: readonly Endpoint[], {requestId}: QueriedPrompt): void {
    for (const endpoint of endpoints) {
      this.sidecarOf(endpoint)?.send({type: 'loadRelease', requestId});
    }
  }

  private querySidecar(
    endpoint: Endpoint,
    sidecar: Peer,
    prompt: QueriedPrompt,
  ): Promise<void> {
    return new Promise((resolve) => {
      const waiting = this.waiting.get(endpoint) ?? new Set();
      this.waiting.set(endpoint, waiting);
      const finish = (): void => {
        cancel();
        waiting.delete(finish);
        resolve();
      };
      const cancel = this.clock.after(ANSWER_TIMEOUT_MS, finish);
      waiting.add(finish);
      sidecar.send({type: 'loadAsk', ...prompt});
    });
  }
}
