export {postBooking, streamGeneration} from './callers.js';
export type {
  BookingAnswer,
  BookingRequestOptions,
  GenerationRequestOptions,
  StreamedAnswer,
} from './callers.js';
export type {Child} from './childProcess.js';
export {
  END_OF_STACK_PORTS,
  findFreePort,
  findFreePorts,
  isFree,
  tryListen,
} from './freePort.js';
export {
  LOCAL_OPERATOR_KEY,
  localApiKey,
  localApiKeyHash,
  LocalStack,
  postJson,
} from './localStack.js';
export type {SidecarProcess, StackProcess} from './localStack.js';
export {waitFor, waitForOk} from './waitFor.js';
