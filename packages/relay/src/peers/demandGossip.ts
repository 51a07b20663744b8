import type {DemandReport} from '@lilacledge/policy';
import type {CancelTimer, Clock} from '@lilacledge/shared';
import type {FleetDemands} from '../requests/fleetDemands.js';
import {MAX_REPORTS} from './demandMessage.js';
import type {Peer} from './peerMesh.js';
import {PeerRole, readsType} from './peerMessages.js';
import type {DemandNotice} from './peerMessages.js';

/**
 * How long reports are collected before they are sent on. A frame for each report would take
 * a large part of the processor of a small instance in a large fleet.
 */
const COLLECT_MS = 60;

interface PendingReport {
  readonly report: DemandReport;
  /** Names of the entries that have sent it here. */
  readonly knownTo: Set<string>;
}

/**
 * Sends reports of demand to the linked entries: those of this entry, and the newest of each
 * other, once over each link.
 */
export class DemandGossip {
  /** Reports to send, by origin and service. */
  private readonly pending = new Map<string, PendingReport>();
  private cancelTimer: CancelTimer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly demands: FleetDemands,
    /** The processes that are linked now. */
    private readonly peers: () => Iterable<Peer>,
  ) {
    demands.onReport((report) => this.add(report));
  }

  /** Applies the reports that another entry sent. */
  receive({hello}: Peer, {reports}: DemandNotice): void {
    for (const report of reports) {
      this.demands.note(report);
      const pending = this.pending.get(keyOf(report));
      const isPending = pending?.report.version === report.version;
      if (isPending) pending.knownTo.add(hello.instance);
    }
  }

  stop(): void {
    this.cancelTimer?.();
  }

  private add(report: DemandReport): void {
    this.pending.set(keyOf(report), {report, knownTo: new Set()});
    this.cancelTimer ??= this.clock.after(COLLECT_MS, () => this.flush());
  }

  private flush(): void {
    this.cancelTimer = undefined;
    const pending = [...this.pending.values()];
    this.pending.clear();
    for (const {hello, send} of this.peers()) {
      const isReader =
        hello.role === PeerRole.ENTRY && readsType(hello, 'demand');
      if (!isReader) continue;
      const reports = pending
        .filter(({knownTo}) => !knownTo.has(hello.instance))
        .map(({report}) => report);
      for (let first = 0; first < reports.length; first += MAX_REPORTS) {
        const part = reports.slice(first, first + MAX_REPORTS);
        send({type: 'demand', reports: part});
      }
    }
  }
}

function keyOf({origin, service}: DemandReport): string {
  return `${origin} ${service}`;
}
