import type {Clock} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {Peer} from './peerMesh.js';

/**
 * Longest wait for the loads that were asked for: ten times the way there and back
 * between zones (2 ms), so that a busy process may answer and a dead one costs little.
 */
const ANSWER_WAIT_MS = 20;

/** A prompt that is to be sent to one of the engines that are asked. */
export interface AskedPrompt {
  readonly requestId: string;
  readonly promptTokens: number;
}

/** Asks sidecars how busy their engines are now. */
export class LoadLooks {
  /** Those who wait for a load, by endpoint. */
  private readonly waiting = new Map<Endpoint, Set<() => void>>();

  constructor(
    private readonly sidecarOf: (endpoint: Endpoint) => Peer | undefined,
    private readonly clock: Clock,
  ) {}

  /** A load came, asked for or not. */
  noteLoad(endpoint: Endpoint): void {
    const waiting = this.waiting.get(endpoint);
    if (waiting === undefined) return;
    this.waiting.delete(endpoint);
    for (const come of waiting) come();
  }

  /**
   * Resolves once the loads of all these that can be asked are as of now, or were
   * waited for long enough. Those without a link to their sidecars stay as they are.
   */
  async ask(
    endpoints: readonly Endpoint[],
    prompt: AskedPrompt,
  ): Promise<void> {
    const asked = endpoints.flatMap((endpoint) => {
      const sidecar = this.sidecarOf(endpoint);
      return sidecar === undefined ? [] : [{endpoint, sidecar}];
    });
    await Promise.all(
      asked.map(({endpoint, sidecar}) =>
        this.askOne(endpoint, sidecar, prompt),
      ),
    );
  }

  /** Engines that were asked need not count the prompt any longer. */
  release(endpoints: readonly Endpoint[], {requestId}: AskedPrompt): void {
    for (const endpoint of endpoints) {
      this.sidecarOf(endpoint)?.send({type: 'loadRelease', requestId});
    }
  }

  private askOne(
    endpoint: Endpoint,
    sidecar: Peer,
    {requestId, promptTokens}: AskedPrompt,
  ): Promise<void> {
    return new Promise((resolve) => {
      const waiting = this.waiting.get(endpoint) ?? new Set();
      this.waiting.set(endpoint, waiting);
      const finish = (): void => {
        cancel();
        waiting.delete(finish);
        resolve();
      };
      const cancel = this.clock.after(ANSWER_WAIT_MS, finish);
      waiting.add(finish);
      sidecar.send({type: 'loadAsk', requestId, promptTokens});
    });
  }
}
