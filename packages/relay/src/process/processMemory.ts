import {MemoryLevels} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import {Gauge} from 'prom-client';
import type {Registry} from 'prom-client';
import type {LogFields, Logger} from '../log/boundedLog.js';

/** What a memory watch samples and where it reports. */
export interface MemoryWatchOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Memory that the process may use. */
  readonly memoryMb: number;
  /** What the process holds, for the log. */
  readonly state: () => LogFields;
  /** Returns the resident memory, which costs about three system calls by default. */
  readonly readResidentBytes?: () => number;
}

/** Logs the memory of this process, and what it holds, as it enters a higher tenth of its bound. */
export function watchMemory(options: MemoryWatchOptions): void {
  const {clock, log, memoryMb, state} = options;
  const readResidentBytes =
    options.readResidentBytes ?? process.memoryUsage.rss;
  const levels = new MemoryLevels(memoryMb);
  sample();

  function sample(): void {
    let residentBytes: number;
    try {
      residentBytes = readResidentBytes();
    } catch (error) {
      log.warn('process.memoryUnknown', {error: String(error)});
      return;
    }
    report(residentBytes);
    clock.after(levels.sampleIntervalMs, sample);
  }

  function report(residentBytes: number): void {
    const level = levels.note(residentBytes);
    if (level === undefined) return;
    const share = Math.round(level.share * 100) / 100;
    const fields = {memoryMb, share, ...memoryFields(), ...state()};
    if (level.isHigh) log.warn('process.memory', fields);
    else log.info('process.memory', fields);
  }
}

/** The memory of this process by kind, for the log; empty if the system doesn't tell it. */
export function memoryFields(): LogFields {
  try {
    const {rss, heapTotal, heapUsed, external, arrayBuffers} =
      process.memoryUsage();
    return {
      residentBytes: rss,
      heapTotalBytes: heapTotal,
      heapUsedBytes: heapUsed,
      externalBytes: external,
      arrayBuffersBytes: arrayBuffers,
    };
  } catch (error) {
    return {memoryError: String(error)};
  }
}

/** Adds gauges of the memory of this process, which is read at each scrape. */
export function addMemoryGauge(registry: Registry): void {
  new Gauge({
    name: 'lilacledge_memory_bytes',
    help: 'Memory of the process, by kind.',
    labelNames: ['kind'],
    registers: [registry],
    collect() {
      for (const [kind, bytes] of memoryByKind()) this.set({kind}, bytes);
    },
  });
}

/** Not a number where the system doesn't tell it, which the memory watch logs. */
function memoryByKind(): Array<[string, number]> {
  try {
    const {rss, heapUsed, external, arrayBuffers} = process.memoryUsage();
    return [
      ['resident', rss],
      ['heapUsed', heapUsed],
      ['external', external],
      ['arrayBuffers', arrayBuffers],
    ];
  } catch {
    return [['resident', Number.NaN]];
  }
}
