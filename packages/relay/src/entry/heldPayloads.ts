import {
  GarbageBound,
  HeapBound,
  heapGrowthLimitBytes,
  PayloadKind,
} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';
import {LoopTurns} from '../http/loopTurns.js';
import {ReadingTurns} from '../http/readingTurns.js';
import type {Logger} from '../log/boundedLog.js';
import {nodeCollector} from '../memory/nodeCollector.js';
import type {RelayMetrics} from '../relayMetrics.js';
import {HeldAnswers} from '../requests/heldAnswers.js';
import {HeldRequestBodies} from '../requests/heldRequestBodies.js';
import {payloadLimit} from '../settings.js';
import type {RelaySettings} from '../settings.js';

/** What holding bodies and answers needs of its process. */
export interface HeldPayloadsOptions {
  readonly settings: RelaySettings;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: RelayMetrics;
  /** Whether the next piece of a large body or answer may be read now. */
  readonly takeReadingTurn: () => boolean;
}

/** The bodies and answers that an entry holds, and the bounds of its memory that go with them. */
export interface HeldPayloads {
  readonly heldBodies: HeldRequestBodies;
  readonly heldAnswers: HeldAnswers;
  readonly readingTurns: ReadingTurns;
  readonly garbage: GarbageBound;
  readonly heap: HeapBound;
}

export function createHeldPayloads({
  settings,
  clock,
  log,
  metrics,
  takeReadingTurn,
}: HeldPayloadsOptions): HeldPayloads {
  const bodyLimitBytes = (): number =>
    payloadLimit(settings, PayloadKind.REQUEST_BODY);
  const answerLimitBytes = (): number =>
    payloadLimit(settings, PayloadKind.ANSWER);
  const collector = nodeCollector();
  if (collector === undefined) {
    log.warn('garbage.notBounded', {missingOption: '--expose-gc'});
  }
  const garbage = new GarbageBound(
    collector,
    () => heldBodies.totalBytes + heldAnswers.totalBytes,
    () => bodyLimitBytes() + answerLimitBytes(),
  );
  const heap = new HeapBound(collector, () =>
    heapGrowthLimitBytes(settings.memoryMb),
  );
  const readingTurns = new ReadingTurns(
    garbage,
    new LoopTurns(clock, takeReadingTurn),
  );
  const heldBodies = new HeldRequestBodies(clock, bodyLimitBytes);
  const heldAnswers: HeldAnswers = new HeldAnswers({
    clock,
    log,
    readingTurns,
    limitBytes: answerLimitBytes,
    onGivenUp: () => metrics.readersTooSlow.inc(),
  });
  return {heldBodies, heldAnswers, readingTurns, garbage, heap};
}
