import type {CancelTimer, Clock} from '@lilacledge/shared';
import type {Endpoint} from '../endpoints/endpoint.js';
import type {Logger} from '../log/boundedLog.js';
import type {MoveAsk} from '../peers/engineMessages.js';
import type {ActiveRun} from '../requests/runRegistry.js';
import {ASK_TTL_MS} from './balanceGrants.js';
import type {GainingRun} from './balanceOutlook.js';
import type {MoveResult} from './runMover.js';

/** Most runs of this entry that ask for a link or are moved for balance at a time. */
const MAX_OPEN_ASKS = 2;

/** How often runs are checked; a slow interval of an engine lasts about 600 ms. */
const CHECK_INTERVAL_MS = 250;

/** How long a run that could not be moved stays before it asks again. */
const RETRY_DELAY_MS = 1_000;

/** Dependencies of `BalanceAsks`. */
export interface BalancePorts {
  readonly clock: Clock;
  readonly log: Logger;
  /** The runs that gain by a move, largest gain first. */
  gainingRuns(isExcluded: (requestId: string) => boolean): GainingRun[];
  /** Sends the ask to the sidecar of the engine; false if no link to it is open. */
  send(endpoint: Endpoint, ask: MoveAsk): boolean;
  /** Moves the run, whose engine's link was granted. */
  move(requestId: string): Promise<MoveResult>;
}

/** Asks the sidecars of engines to grant their links to runs that gain by a move. */
export class BalanceAsks {
  /** Asks that are open or granted, with the timers that end them. */
  private readonly open = new Map<string, CancelTimer>();
  /** Runs that could not be moved a short time ago. */
  private readonly retryBlocked = new Set<string>();
  private cancelCheck: CancelTimer = () => {};

  constructor(private readonly ports: BalancePorts) {}

  /** Checks the runs of this entry at intervals. */
  start(): void {
    this.cancelCheck = this.ports.clock.after(CHECK_INTERVAL_MS, () => {
      this.check();
      this.start();
    });
  }

  stop(): void {
    this.cancelCheck();
    for (const cancel of this.open.values()) cancel();
    this.open.clear();
  }

  /** Moves the run if its ask is still open; otherwise the grant is not used. */
  async grant(requestId: string): Promise<MoveResult> {
    const cancelExpiry = this.open.get(requestId);
    if (cancelExpiry === undefined) {
      return {kind: 'notMoved', cause: 'the ask has ended'};
    }
    cancelExpiry();
    try {
      const end = await this.ports.move(requestId);
      if (end.kind === 'notMoved') this.blockRetry(requestId);
      return end;
    } finally {
      this.open.delete(requestId);
    }
  }

  private check(): void {
    if (this.open.size >= MAX_OPEN_ASKS) return;
    const gaining = this.ports.gainingRuns(
      (id) => this.open.has(id) || this.retryBlocked.has(id),
    );
    for (const {run, gain} of gaining) {
      if (this.open.size >= MAX_OPEN_ASKS) return;
      this.ask(run, gain);
    }
  }

  private ask({requestId, endpoint}: ActiveRun, gain: number): void {
    const {clock, log} = this.ports;
    if (!this.ports.send(endpoint, {type: 'moveAsk', requestId, gain})) return;
    const cancel = clock.after(ASK_TTL_MS, () => this.open.delete(requestId));
    this.open.set(requestId, cancel);
    log.info('move.asked', {
      request: requestId,
      endpoint: endpoint.id,
      gain: Number(gain.toFixed(3)),
    });
  }

  private blockRetry(requestId: string): void {
    this.retryBlocked.add(requestId);
    this.ports.clock.after(RETRY_DELAY_MS, () =>
      this.retryBlocked.delete(requestId),
    );
  }
}
