export {assertNever} from './assertNever.js';
export {AsyncQueue} from './asyncQueue.js';
export {backoffMs} from './backoff.js';
export type {BackoffSettings} from './backoff.js';
export {sleep} from './clock.js';
export type {CancelTimer, Clock} from './clock.js';
export {EarlySignals} from './earlySignals.js';
export type {HandledSignal, SignalSource} from './earlySignals.js';
export {
  FailureError,
  FailureKind,
  isFailureKind,
  mayHaveRun,
  notRun,
} from './failure.js';
export type {Failure} from './failure.js';
export {mintTimeMs, toMintedKey} from './mintedKey.js';
export {createRandom, hash32, alwaysHalf, rendezvous} from './random.js';
export type {Random} from './random.js';
export {SuspensionClock} from './suspensionClock.js';
export type {ClockGap, TimeSources} from './suspensionClock.js';
export {systemClock} from './systemClock.js';
export {isVerdict, Verdict} from './verdict.js';
export {VirtualClock} from './virtualClock.js';
export {SimulatedInstance} from './simulatedInstance.js';
