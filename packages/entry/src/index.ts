export type {
  GenerationRequest,
  PlainAnswer,
  PlainCallRequest,
  ResumeRequest,
  StreamEvent,
} from './callerRequest.js';
export {createEntry} from './createEntry.js';
export type {Entry} from './createEntry.js';
export type {EntryPorts} from './entryPorts.js';
export {createEntryServer} from './http/entryServer.js';
