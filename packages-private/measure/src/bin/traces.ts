#!/usr/bin/env node
import {writeFileSync} from 'node:fs';
import {generateTrace, SHAPES} from '../generateTrace.js';
import type {WorkloadName} from '../generateTrace.js';
import {computeCapacityPerMs} from '../measureCapacity.js';
import {formatTraceLine} from '../trace.js';

const CAPACITY_SAMPLE_SEED = 4_242;
const REPLAY_SEED = 31;
const TRACES_FOLDER = new URL('../../traces/', import.meta.url);

// Writes the synthetic traces of the repository. The output is deterministic.
for (const workload of ['bayanihan', 'sutolinen'] as WorkloadName[]) {
  const sample = generateTrace(
    workload,
    [{durationMs: 400_000, load: 1}],
    0.02,
    CAPACITY_SAMPLE_SEED,
  );
  const trace = generateTrace(
    workload,
    SHAPES.replay,
    computeCapacityPerMs(sample),
    REPLAY_SEED,
  );
  const text = trace.map(formatTraceLine).join('\n');
  writeFileSync(
    new URL(`${workload}-replay.jsonl`, TRACES_FOLDER),
    `${text}\n`,
  );
}
