export type {GenerateOptions} from './askOptions.js';
export type {Caller} from './caller.js';
export {FaultSequence} from './faultSequence.js';
export type {FaultStep} from './faultSequence.js';
export {checkRun} from './checkRun.js';
export type {Violation} from './checkRun.js';
export {Rig} from './rig.js';
export {rigApiKey, rigConfig} from './rigConfig.js';
export type {
  CallOptions,
  PlainCaller,
  RigEntry,
  RigOptions,
  RigSidecar,
} from './rigTypes.js';
