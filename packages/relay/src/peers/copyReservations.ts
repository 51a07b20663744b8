import type {Clock} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {CopyDestinations} from '../evacuation/runMover.js';
import type {Peer} from './peerMesh.js';

/**
 * Longest wait for a sidecar's word; a hop takes 2 ms at most. A sidecar that
 * does not answer holds up no move: the engine itself has the last word.
 */
const ANSWER_WAIT_MS = 60;

/** Asks sidecars whether their engines can take a copy now. */
export class CopyReservations implements CopyDestinations {
  private readonly waiting = new Map<string, (isFree: boolean) => void>();
  /** Sidecars that were asked, by request and endpoint. */
  private readonly asked = new Map<string, Peer>();

  constructor(
    private readonly reach: (endpoint: Endpoint) => Promise<Peer | undefined>,
    private readonly clock: Clock,
  ) {}

  async reserve(
    endpoint: Endpoint,
    requestId: string,
    tokens: number,
  ): Promise<boolean> {
    const sidecar = await this.reach(endpoint);
    if (sidecar === undefined) return true;
    this.asked.set(`${requestId} ${endpoint.id}`, sidecar);
    return new Promise((resolve) => {
      const finish = (isFree: boolean): void => {
        cancel();
        this.waiting.delete(requestId);
        resolve(isFree);
      };
      const cancel = this.clock.after(ANSWER_WAIT_MS, () => finish(true));
      this.waiting.set(requestId, finish);
      sidecar.send({type: 'copyAsk', requestId, tokens});
    });
  }

  release(endpoint: Endpoint, requestId: string): void {
    const key = `${requestId} ${endpoint.id}`;
    this.asked.get(key)?.send({type: 'copyDone', requestId});
    this.asked.delete(key);
  }

  noteAnswer(requestId: string, isFree: boolean): void {
    this.waiting.get(requestId)?.(isFree);
  }
}
