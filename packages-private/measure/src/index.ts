export {generateTrace, SHAPES} from './generateTrace.js';
export type {ShapeName, WorkloadName} from './generateTrace.js';
export {computeCapacityPerMs} from './measureCapacity.js';
export {FaultName, measurePolicy} from './measurePolicy.js';
export type {PolicyMeasures} from './measurePolicy.js';
export {POLICIES} from './policies.js';
export {parseTrace, RequestClass, formatTraceLine} from './trace.js';
export type {TraceRequest} from './trace.js';
