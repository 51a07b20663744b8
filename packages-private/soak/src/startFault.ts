import {assertNever, systemClock} from '@lilacledge/shared';
import type {EngineHost} from './engineHost.js';
import type {PlannedFault} from './faultPlan.js';
import {DRAIN_MS} from './leaveLedger.js';
import type {Ledger} from './ledger.js';
import type {Program} from './program.js';
import type {ServiceHost} from './serviceHost.js';
import type {SoakEndpoints} from './soakEndpoints.js';
import type {SoakPrograms} from './soakPrograms.js';
import {zoneAt} from './soakZones.js';
import type {StoreFaults} from './storeFaults.js';
import type {ZoneOrders} from './zoneOrders.js';

/** What faults are injected into. */
export interface FaultTargets {
  readonly programs: SoakPrograms;
  readonly endpoints: SoakEndpoints;
  readonly storeFaults: StoreFaults;
  readonly zoneOrders: ZoneOrders;
  readonly ledger: Ledger;
  /** Writes a configuration whose version is `step` higher. */
  writeNextConfig(step: number): void;
}

/** Starts a fault; returns the function that ends it, or undefined if it ends by itself. */
export function startFault(
  fleet: FaultTargets,
  {what, target, forMs}: PlannedFault,
): (() => void) | undefined {
  const {entries, sidecars, storeProxies} = fleet.programs;
  const {engines, services, all: endpointHosts} = fleet.endpoints;
  const {program: entry} = pick(entries, target);
  const sidecar = pick(sidecars, target);
  const engine = pick(engines, target);
  const service = pick(services, target);
  switch (what.kind) {
    case 'storeLink':
      return pick(storeProxies, target).startFault(what.fault);
    case 'storeBusy':
    case 'storeSilent':
    case 'storeLosesAnswers':
    case 'storeCompacted':
    case 'storeDownWithLapse':
    case 'storeRestored':
      return fleet.storeFaults.start(what);
    case 'entryStopped':
      entry.stopGracefully();
      return undefined;
    case 'entryKilled':
      entry.signal('SIGKILL');
      return undefined;
    case 'entryPaused':
      return pause(entry);
    case 'entryReloaded':
      entry.writeSettings({...entry.node, drainMs: DRAIN_MS - (forMs % 2)});
      entry.signal('SIGHUP');
      return undefined;
    case 'sidecarKilled':
      sidecar.signal('SIGKILL');
      return undefined;
    case 'sidecarPaused':
      return pause(sidecar);
    case 'engineLink':
      return engine.proxy.startFault(what.fault);
    case 'engineLeaves':
      void engine.leave();
      return undefined;
    case 'engineCrashes':
      void engine.crash();
      return undefined;
    case 'engineResets':
      engine.resetsRequests = true;
      return () => (engine.resetsRequests = false);
    case 'serviceLink':
      return service.proxy.startFault(what.fault);
    case 'serviceLeaves':
      void service.leave();
      return undefined;
    case 'serviceFails':
      service.isFailing = true;
      return () => (service.isFailing = false);
    case 'engineStartsAgain':
      void engine.restart(what.leavesFirst);
      return undefined;
    case 'serviceStartsAgain':
      void service.restart(what.leavesFirst);
      return undefined;
    case 'strangeEntry': {
      const host = target % 2 === 0 ? engine : service;
      host.corruptRegistration(what.value);
      // Real endpoints rewrite their registration with each heartbeat.
      return () => host.restore();
    }
    case 'zoneEvacuated':
      return fleet.zoneOrders.evacuate(zoneAt(target));
    case 'endpointsShed':
      return startShedding(endpointHosts, what.share);
    case 'endpointNamesRate':
      return pick(endpointHosts, target).startAnnouncing({
        limit: String(what.perS),
      });
    case 'endpointSaysLeave':
      return pick(endpointHosts, target).startAnnouncingLeave();
    case 'endpointAsksRest':
      return pick(endpointHosts, target).startAnnouncing({
        retryAfter: String(what.restS),
      });
    case 'configChange':
      fleet.writeNextConfig(1 + (target % 3));
      return undefined;
    case 'storeConnectionsSilent':
      for (const proxy of storeProxies) proxy.silenceOpenConnections();
      fleet.ledger.note({
        type: 'connectionsReset',
        atMs: systemClock.nowMs(),
      });
      return undefined;
    case 'enginesSlow':
      for (const host of engines) host.isSlow = true;
      return () => {
        for (const host of engines) host.isSlow = false;
      };
    case 'allEntriesKilled':
      for (const {program} of entries) program.signal('SIGKILL');
      return undefined;
    default:
      return assertNever(what);
  }
}

/** Makes all endpoints reject a share of their requests; the result ends it. */
function startShedding(
  hosts: ReadonlyArray<EngineHost | ServiceHost>,
  share: number,
): () => void {
  for (const host of hosts) host.shedShare = share;
  return () => {
    for (const host of hosts) host.shedShare = 0;
  };
}

function pick<T>(values: readonly T[], target: number): T {
  return values[target % values.length]!;
}

function pause(program: Program): () => void {
  program.signal('SIGSTOP');
  return () => program.signal('SIGCONT');
}
