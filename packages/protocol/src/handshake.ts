import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import type {Link} from './link.js';
import type {Challenge, Hello, Message, Welcome} from './messages.js';
import {PROTOCOL_VERSION} from './messages.js';

/** Identity of an entry, exchanged in the handshake. */
export interface EntryIdentity {
  readonly instanceId: string;
  readonly zone: string;
}

/** Identity of a sidecar, exchanged in the handshake. */
export interface SidecarIdentity extends EntryIdentity {
  readonly incarnation: string;
  readonly service: string;
}

/** Outcome of a handshake: the peer's identity, or why it was refused. */
export type HandshakeResult<T> =
  | {readonly ok: true; readonly peer: T}
  | {readonly ok: false; readonly detail: string};

/**
 * The entry's side of the handshake. The sidecar sends a nonce, the entry proves with an
 * HMAC over it that it has the shared key and sends its own nonce, and the sidecar proves
 * the same over that one.
 */
export async function authenticateSidecar(
  link: Link,
  identity: EntryIdentity,
  linkKey: string,
): Promise<HandshakeResult<SidecarIdentity>> {
  const inbox = link.receive()[Symbol.asyncIterator]();
  const challenge = await nextOfType(inbox, 'challenge');
  if (challenge === undefined) return refuse('no challenge');
  if (challenge.version !== PROTOCOL_VERSION) return refuse('other version');
  const nonce = createNonce();
  link.send({
    type: 'hello',
    version: PROTOCOL_VERSION,
    instanceId: identity.instanceId,
    zone: identity.zone,
    nonce,
    proof: entryProof(linkKey, challenge.nonce, identity.instanceId),
  });
  const welcome = await nextOfType(inbox, 'welcome');
  if (welcome === undefined) return refuse('greeting refused');
  const expected = sidecarProof(linkKey, nonce, welcome.incarnation);
  if (!proofsMatch(expected, welcome.proof)) return refuse('wrong proof');
  return {ok: true, peer: sidecarIdentityOf(welcome)};
}

/** The sidecar's side of the handshake; see `authenticateSidecar`. */
export async function authenticateEntry(
  link: Link,
  identity: SidecarIdentity,
  linkKey: string,
): Promise<HandshakeResult<EntryIdentity>> {
  const inbox = link.receive()[Symbol.asyncIterator]();
  const nonce = createNonce();
  link.send({type: 'challenge', version: PROTOCOL_VERSION, nonce});
  const hello = await nextOfType(inbox, 'hello');
  if (hello === undefined) return refuse('no hello');
  if (hello.version !== PROTOCOL_VERSION) return refuse('other version');
  const expected = entryProof(linkKey, nonce, hello.instanceId);
  if (!proofsMatch(expected, hello.proof)) return refuse('wrong proof');
  link.send({
    type: 'welcome',
    instanceId: identity.instanceId,
    incarnation: identity.incarnation,
    service: identity.service,
    zone: identity.zone,
    proof: sidecarProof(linkKey, hello.nonce, identity.incarnation),
  });
  return {ok: true, peer: {instanceId: hello.instanceId, zone: hello.zone}};
}

type HandshakeMessage = Challenge | Hello | Welcome;

async function nextOfType<T extends HandshakeMessage['type']>(
  inbox: AsyncIterator<Message>,
  type: T,
): Promise<Extract<HandshakeMessage, {type: T}> | undefined> {
  const next = await inbox.next();
  if (next.done === true || next.value.type !== type) return undefined;
  return next.value as Extract<HandshakeMessage, {type: T}>;
}

function sidecarIdentityOf(welcome: Welcome): SidecarIdentity {
  const {instanceId, incarnation, service, zone} = welcome;
  return {instanceId, incarnation, service, zone};
}

function refuse(detail: string): {ok: false; detail: string} {
  return {ok: false, detail};
}

function createNonce(): string {
  return randomBytes(16).toString('base64url');
}

function entryProof(key: string, nonce: string, instanceId: string): string {
  return hmacBase64Url(key, `entry|${nonce}|${instanceId}`);
}

function sidecarProof(key: string, nonce: string, incarnation: string): string {
  return hmacBase64Url(key, `sidecar|${nonce}|${incarnation}`);
}

function hmacBase64Url(key: string, text: string): string {
  return createHmac('sha256', key).update(text).digest('base64url');
}

function proofsMatch(expected: string, actual: string): boolean {
  const left = Buffer.from(expected);
  const right = Buffer.from(actual);
  return left.length === right.length && timingSafeEqual(left, right);
}
