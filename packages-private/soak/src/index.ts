export {planFaults} from './faultPlan.js';
export type {Fault, PlannedFault} from './faultPlan.js';
export {runSoak} from './runSoak.js';
export type {SoakOptions, SoakVerdict} from './soakOptions.js';
