import {createRandom} from '@lilacledge/shared';
import {BurstyLoad} from './burstyLoad.js';
import type {Ledger} from './ledger.js';
import type {SoakFleet} from './soakFleet.js';
import {SoakLoad} from './soakLoad.js';
import type {SoakOptions} from './soakOptions.js';

/** Gives the leaving caller a seed of its own, so that a seed's other draws stay the same. */
const LEAVING_CALLER_SEED_OFFSET = 4_000_037;

/** The same for the slow readers. */
const SLOW_READER_SEED_OFFSET = 6_000_029;

/** The same for callers that resume streams. */
const RESUMING_CALLER_SEED_OFFSET = 7_000_003;

/** Creates the callers that the options ask for. */
export function createLoad(
  options: SoakOptions,
  fleet: SoakFleet,
  ledger: Ledger,
): SoakLoad {
  return new SoakLoad(
    fleet,
    ledger,
    createRandom(options.seed + 1),
    `s${options.seed}`,
    options.crashing,
    options.hasLeavingCaller === true
      ? createRandom(options.seed + LEAVING_CALLER_SEED_OFFSET)
      : undefined,
    options.hasSlowReaders === true
      ? createRandom(options.seed + SLOW_READER_SEED_OFFSET)
      : undefined,
    options.hasCombinedFaults === true
      ? createRandom(options.seed + RESUMING_CALLER_SEED_OFFSET)
      : undefined,
    options.hasBursts === true ? new BurstyLoad(options.seed) : undefined,
  );
}
