import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import type {Link} from './link.js';
import type {Challenge, Hello, Message, Welcome} from './messages.js';
import {PROTOCOL_VERSION} from './messages.js';

/** Who an entry is, in a greeting. */
export interface EntryIdentity {
  readonly instanceId: string;
  readonly zone: string;
}

/** Who a sidecar is, in a greeting. */
export interface SidecarIdentity extends EntryIdentity {
  readonly incarnation: string;
  readonly service: string;
}

/** Outcome of a greeting: the peer's identity or why it was refused. */
export type Greeting<T> =
  | {readonly ok: true; readonly peer: T}
  | {readonly ok: false; readonly detail: string};

/**
 * Greets a sidecar: it challenges, the entry proves the shared key over the
 * challenge, and the sidecar proves it over the entry's own nonce.
 */
export async function greetSidecar(
  link: Link,
  identity: EntryIdentity,
  linkKey: string,
): Promise<Greeting<SidecarIdentity>> {
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
    proof: proveEntry(linkKey, challenge.nonce, identity.instanceId),
  });
  const welcome = await nextOfType(inbox, 'welcome');
  if (welcome === undefined) return refuse('greeting refused');
  const expected = proveSidecar(linkKey, nonce, welcome.incarnation);
  if (!isSame(expected, welcome.proof)) return refuse('wrong proof');
  return {ok: true, peer: toSidecarIdentity(welcome)};
}

/** The sidecar's side of `greetSidecar`. */
export async function greetEntry(
  link: Link,
  identity: SidecarIdentity,
  linkKey: string,
): Promise<Greeting<EntryIdentity>> {
  const inbox = link.receive()[Symbol.asyncIterator]();
  const nonce = createNonce();
  link.send({type: 'challenge', version: PROTOCOL_VERSION, nonce});
  const hello = await nextOfType(inbox, 'hello');
  if (hello === undefined) return refuse('no hello');
  if (hello.version !== PROTOCOL_VERSION) return refuse('other version');
  const expected = proveEntry(linkKey, nonce, hello.instanceId);
  if (!isSame(expected, hello.proof)) return refuse('wrong proof');
  link.send({
    type: 'welcome',
    instanceId: identity.instanceId,
    incarnation: identity.incarnation,
    service: identity.service,
    zone: identity.zone,
    proof: proveSidecar(linkKey, hello.nonce, identity.incarnation),
  });
  return {ok: true, peer: {instanceId: hello.instanceId, zone: hello.zone}};
}

type GreetingMessage = Challenge | Hello | Welcome;

async function nextOfType<T extends GreetingMessage['type']>(
  inbox: AsyncIterator<Message>,
  type: T,
): Promise<Extract<GreetingMessage, {type: T}> | undefined> {
  const next = await inbox.next();
  if (next.done === true || next.value.type !== type) return undefined;
  return next.value as Extract<GreetingMessage, {type: T}>;
}

function toSidecarIdentity(welcome: Welcome): SidecarIdentity {
  const {instanceId, incarnation, service, zone} = welcome;
  return {instanceId, incarnation, service, zone};
}

function refuse(detail: string): {ok: false; detail: string} {
  return {ok: false, detail};
}

function createNonce(): string {
  return randomBytes(16).toString('base64url');
}

function proveEntry(key: string, nonce: string, instanceId: string): string {
  return prove(key, `entry|${nonce}|${instanceId}`);
}

function proveSidecar(key: string, nonce: string, incarnation: string): string {
  return prove(key, `sidecar|${nonce}|${incarnation}`);
}

function prove(key: string, text: string): string {
  return createHmac('sha256', key).update(text).digest('base64url');
}

function isSame(expected: string, actual: string): boolean {
  const left = Buffer.from(expected);
  const right = Buffer.from(actual);
  return left.length === right.length && timingSafeEqual(left, right);
}
