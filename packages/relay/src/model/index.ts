export type {
  CallerRequest,
  GenerationSize,
  PrefixPart,
  RawHeaders,
} from './callerRequest.js';
export {EndpointState, formatAddress, parseAddress} from './endpoint.js';
export type {EndpointAddress, EndpointRecord} from './endpoint.js';
export type {EngineLoad, EngineReport, ReportedRun} from './engineReport.js';
export {countInEra, eraOf, isSameEra, toRevision} from './storeRevision.js';
export {RequestClass} from './servingConfig.js';
export type {
  ClientLimits,
  EngineTraits,
  Organisation,
  Route,
  RouteTarget,
  Service,
  ServingConfig,
  WarmUp,
} from './servingConfig.js';
