import {createHash} from 'node:crypto';
import {assertNever, hash32} from '@lilacledge/shared';
import {partSchemas} from './fleetConfig.js';
import type {FleetConfig, Organisation} from './fleetConfig.js';

/** Organisations are spread over this many parts, so a change stays small. */
export const ORGANISATION_PARTS = 256;

/** How many recent writes a head remembers, to settle lost answers. */
export const REMEMBERED_WRITES = 32;

/** One applied write. */
export interface ConfigWrite {
  readonly id: string;
  readonly revision: number;
  readonly author: string;
  readonly atWallMs: number;
}

/** The one mutable record of the configuration. */
export interface ConfigHead {
  readonly revision: number;
  /** Part name to content hash. */
  readonly parts: Readonly<Record<string, string>>;
  /** Newest first. */
  readonly writes: readonly ConfigWrite[];
}

/** A part as checked values. */
export type ParsedPart =
  | {readonly kind: 'services'; readonly value: FleetConfig['services']}
  | {readonly kind: 'organisations'; readonly value: Organisation[]}
  | {readonly kind: 'routes'; readonly value: FleetConfig['routes']};

/** A head together with all its parts, by content hash. */
export interface ConfigState {
  readonly head: ConfigHead;
  readonly contents: ReadonlyMap<string, string>;
  readonly parts: ReadonlyMap<string, ParsedPart>;
  readonly config: FleetConfig;
}

/** Named parts of a configuration with their text and content hash. */
export interface ConfigPart {
  readonly name: string;
  readonly hash: string;
  readonly text: string;
}

/** Splits a configuration into parts that change independently. */
export function splitConfig(config: FleetConfig): ConfigPart[] {
  const parts = [
    toPart('services', config.services),
    toPart('routes', config.routes),
  ];
  const shards = new Map<number, Organisation[]>();
  for (const organisation of config.organisations) {
    const shard = hash32(organisation.id) % ORGANISATION_PARTS;
    const members = shards.get(shard) ?? [];
    members.push(organisation);
    shards.set(shard, members);
  }
  for (const [shard, members] of shards) {
    members.sort((a, b) => (a.id < b.id ? -1 : 1));
    parts.push(toPart(`organisations/${shard}`, members));
  }
  return parts;
}

/**
 * Puts parts together again; throws when one is missing or does not match.
 * Parts that `known` has are taken as they are, so that a small change costs
 * little however large the configuration is.
 */
export function joinConfig(
  head: ConfigHead,
  contents: ReadonlyMap<string, string>,
  known?: ConfigState,
): ConfigState {
  const config: FleetConfig = {services: {}, organisations: [], routes: []};
  const parts = new Map<string, ParsedPart>();
  for (const [name, hash] of Object.entries(head.parts)) {
    const part = known?.parts.get(hash) ?? parsePart(name, hash, contents);
    parts.set(hash, part);
    switch (part.kind) {
      case 'organisations':
        config.organisations.push(...part.value);
        break;
      case 'services':
        config.services = part.value;
        break;
      case 'routes':
        config.routes = part.value;
        break;
      default:
        assertNever(part);
    }
  }
  return {head, contents: keepNamed(head, contents), parts, config};
}

function parsePart(
  name: string,
  hash: string,
  contents: ReadonlyMap<string, string>,
): ParsedPart {
  const text = contents.get(hash);
  if (text === undefined) throw new Error(`part ${name} is missing`);
  if (contentHash(text) !== hash) throw new Error(`part ${name} is damaged`);
  const value: unknown = JSON.parse(text);
  if (name === 'services') {
    return {kind: name, value: partSchemas.services.parse(value)};
  }
  if (name === 'routes') {
    return {kind: name, value: partSchemas.routes.parse(value)};
  }
  return {kind: 'organisations', value: partSchemas.organisations.parse(value)};
}

/** Hashes of `head` that `contents` does not hold. */
export function missingParts(
  head: ConfigHead,
  contents: ReadonlyMap<string, string>,
): string[] {
  return Object.values(head.parts).filter((hash) => !contents.has(hash));
}

/** Names of the parts that differ between two heads. */
export function changedParts(before: ConfigHead, after: ConfigHead): string[] {
  const names = new Set([
    ...Object.keys(before.parts),
    ...Object.keys(after.parts),
  ]);
  return [...names].filter((name) => before.parts[name] !== after.parts[name]);
}

/** SHA-256 of a text, in hex. */
export function contentHash(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function toPart(name: string, value: unknown): ConfigPart {
  const text = JSON.stringify(value);
  return {name, hash: contentHash(text), text};
}

function keepNamed(
  head: ConfigHead,
  contents: ReadonlyMap<string, string>,
): Map<string, string> {
  const kept = new Map<string, string>();
  for (const hash of Object.values(head.parts)) {
    kept.set(hash, contents.get(hash)!);
  }
  return kept;
}
