export {DEFAULT_ENGINE} from './engineConstants.js';
export type {EngineConstants} from './engineConstants.js';
export {EngineModel} from './engineModel.js';
export type {
  EngineCounters,
  EngineJobRequest,
  EngineSink,
} from './engineModel.js';
export {createEngineServer} from './engineServer.js';
export {createMemoryPlatform} from './memoryPlatform.js';
export type {MemoryPlatform} from './memoryPlatform.js';
export {NO_FAULTS} from './platformFaults.js';
export type {PlatformFaults} from './platformFaults.js';
export {PlainModel} from './plainModel.js';
export type {PlainRun} from './plainModel.js';
export {createPlainServer} from './plainServer.js';
export {createPlatformServer} from './platformServer.js';
export {PlatformModel} from './platformModel.js';
export type {PlatformCounters} from './platformModel.js';
