import type {DemandReport} from '@lilacledge/policy';
import type {CancelTimer} from '@lilacledge/shared';
import {PerService} from '../perService.js';
import {FleetDemand} from './fleetDemand.js';
import type {DemandSources} from './fleetDemand.js';

type ReportListener = (report: DemandReport) => void;

/** The demand for all services, and the times at which it is reported to other entries. */
export class FleetDemands {
  private readonly byService: PerService<FleetDemand>;
  /** Timers of the next reports, by service; none without shortage. */
  private readonly timers = new Map<string, CancelTimer>();
  private readonly listeners: ReportListener[] = [];

  constructor(private readonly sources: DemandSources) {
    this.byService = new PerService(
      (service) =>
        new FleetDemand(service, sources, () => this.startReports(service)),
    );
  }

  of(service: string): FleetDemand {
    return this.byService.of(service);
  }

  /** Calls `listener` with each report to send or forward to other entries. */
  onReport(listener: ReportListener): void {
    this.listeners.push(listener);
  }

  /** Applies a report of another entry and forwards it if it is new. */
  note(report: DemandReport): void {
    if (!this.of(report.service).note(report)) return;
    this.emit(report);
    this.startReports(report.service);
  }

  /** Number of organisations above their share, summed over the services. */
  get organisationsAboveShare(): number {
    return this.byService.sum((demand) => demand.organisationsAboveShare);
  }

  /** Number of refused callers that have yet to return. */
  get callersDue(): number {
    return this.byService.sum((demand) => demand.callersDue);
  }

  stop(): void {
    for (const cancel of this.timers.values()) cancel();
    this.timers.clear();
  }

  private startReports(service: string): void {
    if (!this.timers.has(service)) this.report(service);
  }

  private report(service: string): void {
    this.timers.delete(service);
    const demand = this.of(service);
    const report = demand.nextReport();
    if (report !== undefined) this.emit(report);
    const nextInMs = demand.nextReportInMs;
    if (nextInMs === undefined) return;
    this.timers.set(
      service,
      this.sources.clock.after(nextInMs, () => this.report(service)),
    );
  }

  private emit(report: DemandReport): void {
    for (const listener of this.listeners) listener(report);
  }
}
