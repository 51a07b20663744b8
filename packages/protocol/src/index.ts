export {MAX_SHORT_STRING_LENGTH} from './checkMessage.js';
export {decodeMessage, encodeMessage} from './codec.js';
export {ConfigCache} from './configCache.js';
export type {AdoptResult} from './configCache.js';
export {authenticateEntry, authenticateSidecar} from './handshake.js';
export type {
  EntryIdentity,
  HandshakeResult,
  SidecarIdentity,
} from './handshake.js';
export type {
  Link,
  LinkAddress,
  LinkDialer,
  LinkEndReason,
  LinkTraffic,
} from './link.js';
export {LinkWay, MemoryNetwork} from './memoryLink.js';
export {PROTOCOL_VERSION, SidecarState} from './messages.js';
export type * from './messages.js';
export {createStreamTag, parseEventId, formatEventId} from './eventId.js';
export type {ResumePoint} from './eventId.js';
export {
  acceptWsLinks,
  createWsDialer,
  MAX_BODY_BYTES,
  MAX_FRAME_BYTES,
} from './wsLink.js';
