import {planAnswerFaults} from './answerFaults.js';
import {
  LARGE_BODIES_CONFIG,
  LARGE_CONFIG,
  SMALL_CONFIG,
  planBulkFaults,
} from './bulkFaults.js';
import type {BulkSettings} from './bulkFaults.js';
import {planBurstFaults} from './burstyLoad.js';
import {planCombinedFaults} from './combinedFaults.js';
import {planFailingFaults} from './failingFaults.js';
import {planFaults} from './faultPlan.js';
import type {PlannedFault} from './faultPlan.js';
import {planIdentityFaults} from './identityFaults.js';
import {planRestoreFaults} from './restoreFaults.js';
import {planSheddingFaults} from './sheddingFaults.js';
import {planSilentFaults} from './silentFaults.js';
import type {SoakOptions} from './soakOptions.js';
import type {SoakShape} from './soakShape.js';
import {planUploadFaults} from './uploadFaults.js';
import {planZoneFaults} from './zoneFaults.js';

/** Returns what the configuration and the links to the store are like. */
export function selectConfig(options: SoakOptions): BulkSettings {
  if (options.hasLargeConfig === true) return LARGE_CONFIG;
  return options.hasUploads === true ? LARGE_BODIES_CONFIG : SMALL_CONFIG;
}

/** Plans the faults that the options ask for, in order of time. */
export function planSelectedFaults(
  options: SoakOptions,
  shape: SoakShape,
): PlannedFault[] {
  const {seed, durationMs} = options;
  if (options.hasStatements === true) return planAnswerFaults(seed, durationMs);
  if (options.hasFailingEndpoints === true) {
    return planFailingFaults(shape.services, durationMs);
  }
  if (options.hasShedding === true) return planSheddingFaults(seed, durationMs);
  if (options.hasSilences === true) return planSilentFaults(seed, durationMs);
  if (options.hasUploads === true) return planUploadFaults(seed, durationMs);
  if (options.hasBursts === true) return planBurstFaults(seed, durationMs);
  if (options.hasCombinedFaults === true) {
    return planCombinedFaults(seed, durationMs);
  }
  if (options.hasLargeConfig === true) return planBulkFaults(seed, durationMs);
  const faults = planFaults(seed, durationMs);
  if (options.hasIdentityFaults === true) {
    faults.push(...planIdentityFaults(seed, durationMs));
  }
  if (options.hasZoneFaults === true) {
    faults.push(...planZoneFaults(seed, durationMs));
  }
  if (options.hasRestores === true) {
    faults.push(...planRestoreFaults(seed, durationMs));
  }
  return faults.sort((a, b) => a.atMs - b.atMs);
}
