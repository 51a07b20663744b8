import type {EnginePace, UrgentReserve} from '@lilacledge/policy';
import type {CallerConnections} from '../http/callerConnections.js';
import type {RequestTurns} from '../http/requestTurns.js';
import type {PerService} from '../perService.js';
import {addMemoryGauge} from '../process/processMemory.js';
import {
  addEntryGauges,
  addPaceGauge,
  addReserveGauge,
  addSlownessGauge,
  addUnansweredGauge,
} from '../relayMetrics.js';
import type {AdmissionQueue} from '../requests/admissionQueue.js';
import type {EngineReservation} from '../requests/generationAdmission.js';
import type {RelayContext} from '../requests/relayContext.js';

/** What the gauges of an entry read beside its context. */
export interface GaugeSources {
  readonly connections: CallerConnections;
  readonly turns: RequestTurns;
  readonly paces: PerService<EnginePace>;
  readonly urgentReserves: PerService<UrgentReserve>;
  readonly admissions: PerService<AdmissionQueue<EngineReservation>>;
}

/** Adds all gauges of an entry to its metrics. */
export function addAllGauges(
  context: RelayContext,
  {connections, turns, paces, urgentReserves, admissions}: GaugeSources,
): void {
  const {metrics, log, endpoints, evacuations, retryBudgets, demands} = context;
  const {heldBodies, heldAnswers} = context;
  addMemoryGauge(metrics.registry);
  addPaceGauge(metrics, () => paces.entries());
  addSlownessGauge(metrics, () => endpoints.all());
  addUnansweredGauge(metrics, () => endpoints.all());
  addReserveGauge(metrics, () => urgentReserves.entries());
  addEntryGauges(metrics, {
    openRequests: () => connections.open.requestCount,
    openConnections: () => connections.openCount,
    connectionLimit: () => connections.limitPerS ?? Number.NaN,
    openRuns: () => context.runs.size,
    waitingRequests: () => admissions.sum((queue) => queue.length),
    endpoints: () => endpoints.size,
    evacuatedZones: () => evacuations.size,
    suspectedRequests: () => context.suspicions.size,
    quarantinedFeatures: () => context.suspicions.quarantined.length,
    entries: () => context.entryCount(),
    droppedLogLines: () => log.droppedLines,
    retriesUsed: () => retryBudgets.used,
    heldBytes: () => context.heldStreams.totalBytes,
    heldStreams: () => context.heldStreams.streamCount,
    heldRequestBytes: () => heldBodies.totalBytes,
    heldAnswerBytes: () => heldAnswers.totalBytes,
    sentAheadBytes: () => turns.heldBytes,
    organisationsAboveShare: () => demands.organisationsAboveShare,
    callersDue: () => demands.callersDue,
  });
}
