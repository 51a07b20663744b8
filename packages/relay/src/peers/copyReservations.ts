import type {Clock} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {CopyDestinations} from '../evacuation/runMover.js';
import type {Peer} from './peerMesh.js';

/**
 * Timeout for a sidecar's answer; one hop takes at most 2 ms. A move goes ahead without
 * an answer, since the engine itself can still refuse the copy.
 */
const ANSWER_TIMEOUT_MS = 60;

/** Reserves room for copies at engines, by asking their sidecars. */
export class CopyReservations implements CopyDestinations {
  /** Callbacks for the answers, by request. */
  private readonly waiting = new Map<string, (isFree: boolean) => void>();
  /** Sidecars that were asked for a reservation, by request and endpoint. */
  private readonly askedSidecars = new Map<string, Peer>();

  constructor(
    private readonly connectToSidecar: (
      endpoint: Endpoint,
    ) => Promise<Peer | undefined>,
    private readonly clock: Clock,
  ) {}

  async reserve(
    endpoint: Endpoint,
    requestId: string,
    tokens: number,
  ): Promise<boolean> {
    const sidecar = await this.connectToSidecar(endpoint);
    if (sidecar === undefined) return true;
    this.askedSidecars.set(`${requestId} ${endpoint.id}`, sidecar);
    return new Promise((resolve) => {
      const finish = (isFree: boolean): void => {
        cancel();
        this.waiting.delete(requestId);
        resolve(isFree);
      };
      const cancel = this.clock.after(ANSWER_TIMEOUT_MS, () => finish(true));
      this.waiting.set(requestId, finish);
      sidecar.send({type: 'copyAsk', requestId, tokens});
    });
  }

  release(endpoint: Endpoint, requestId: string): void {
    const key = `${requestId} ${endpoint.id}`;
    this.askedSidecars.get(key)?.send({type: 'copyDone', requestId});
    this.askedSidecars.delete(key);
  }

  noteAnswer(requestId: string, isFree: boolean): void {
    this.waiting.get(requestId)?.(isFree);
  }
}
