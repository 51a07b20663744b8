import {getHeapStatistics} from 'node:v8';
import type {Collector} from '@lilacledge/policy';

interface CollectOptions {
  readonly type: 'minor' | 'major';
}

/** The collector of this process; undefined without the option `--expose-gc`. */
export function nodeCollector(): Collector | undefined {
  const collect = globalThis.gc as
    ((options?: CollectOptions) => void) | undefined;
  if (collect === undefined) return undefined;
  return {
    collectYoung: () => collect({type: 'minor'}),
    collectAll: () => collect(),
    bufferBytes: () => process.memoryUsage().arrayBuffers,
    heapBytes: () => getHeapStatistics().used_heap_size,
  };
}
