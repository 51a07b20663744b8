export {createHttpEngine} from './adapters/httpEngine.js';
export {createHttpPlain} from './adapters/httpPlain.js';
export {createSidecar} from './createSidecar.js';
export type {Sidecar} from './createSidecar.js';
export {EndpointError} from './ports/endpointError.js';
export type {
  EngineEvent,
  EngineLoad,
  EnginePort,
  EngineRequest,
} from './ports/enginePort.js';
export type {
  PlainPort,
  PlainRequest,
  PlainResponse,
} from './ports/plainPort.js';
export type {EndpointPort, SidecarPorts} from './sidecarPorts.js';
export {createSidecarServer} from './sidecarServer.js';
