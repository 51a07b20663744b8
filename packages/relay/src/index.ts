export {startRelayEntry} from './createRelayEntry.js';
export type {RelayEntry, RelayPorts} from './createRelayEntry.js';
export {callHttp} from './http/callHttp.js';
export type {HttpCall, HttpReply} from './http/callHttp.js';
export {createBoundedLog, silentLog} from './log/boundedLog.js';
export type {DecisionLogger} from './log/boundedLog.js';
export * from './model/index.js';
export type * from './ports.js';
export type {RelaySettings} from './settings.js';
