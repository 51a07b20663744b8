import {Counter, Gauge, Registry} from 'prom-client';
import type {EngineReport} from './model/index.js';

/** Metrics of one sidecar process. */
export interface SidecarMetrics {
  readonly registry: Registry;
  /** Counts grants of the engine's link, by the reason of the move and their outcome. */
  readonly grants: Counter;
  noteReport(report: EngineReport): void;
}

export function createSidecarMetrics(): SidecarMetrics {
  const registry = new Registry();
  const registers = [registry];
  const memory = new Gauge({
    name: 'lilacledge_engine_memory_share',
    help: 'Share of the engine’s memory that running generations hold.',
    registers,
  });
  const waiting = new Gauge({
    name: 'lilacledge_engine_queued',
    help: 'Requests that wait at the engine.',
    registers,
  });
  const running = new Gauge({
    name: 'lilacledge_engine_running',
    help: 'Generations that the engine runs.',
    registers,
  });
  return {
    registry,
    grants: new Counter({
      name: 'lilacledge_evacuation_grants_total',
      help: 'Grants of an engine’s link, by reason of the move and how they ended.',
      labelNames: ['reason', 'end'],
      registers,
    }),
    noteReport(report) {
      memory.set(report.memoryUsedTokens / Math.max(1, report.memoryTokens));
      waiting.set(report.queued);
      running.set(report.active);
    },
  };
}
