import {createHash} from 'node:crypto';
import {assertNever, hash32} from '@lilacledge/shared';
import {partSchemas} from './fleetConfig.js';
import type {FleetConfig, Organisation} from './fleetConfig.js';

/** Organisations are sharded into this many parts, so that a change rewrites few of them. */
export const ORGANISATION_SHARDS = 256;

/** Recent writes listed in a head, to find out whether a write without an answer was applied. */
export const MAX_REMEMBERED_WRITES = 32;

/** An applied write to the configuration. */
export interface ConfigWrite {
  readonly id: string;
  readonly revision: number;
  readonly author: string;
  readonly atWallMs: number;
}

/** Root record of the configuration, the only one that is changed in place. */
export interface ConfigHead {
  readonly revision: number;
  /** Part name to content hash. */
  readonly parts: Readonly<Record<string, string>>;
  /** Newest first. */
  readonly writes: readonly ConfigWrite[];
}

/** A parsed and validated part. */
export type ParsedPart =
  | {readonly kind: 'services'; readonly value: FleetConfig['services']}
  | {readonly kind: 'organisations'; readonly value: Organisation[]}
  | {readonly kind: 'routes'; readonly value: FleetConfig['routes']};

/** A head with the contents of all its parts, by content hash. */
export interface ConfigState {
  readonly head: ConfigHead;
  readonly contents: ReadonlyMap<string, string>;
  readonly parts: ReadonlyMap<string, ParsedPart>;
  readonly config: FleetConfig;
}

/** A named part of a configuration with its text and content hash. */
export interface ConfigPart {
  readonly name: string;
  readonly hash: string;
  readonly text: string;
}

/** Splits a configuration into parts that can change independently. */
export function splitConfig(config: FleetConfig): ConfigPart[] {
  const parts = [
    createPart('services', config.services),
    createPart('routes', config.routes),
  ];
  const shards = new Map<number, Organisation[]>();
  for (const organisation of config.organisations) {
    const shard = hash32(organisation.id) % ORGANISATION_SHARDS;
    const members = shards.get(shard) ?? [];
    members.push(organisation);
    shards.set(shard, members);
  }
  for (const [shard, members] of shards) {
    members.sort((a, b) => (a.id < b.id ? -1 : 1));
    parts.push(createPart(`organisations/${shard}`, members));
  }
  return parts;
}

/**
 * Builds a configuration from its parts; throws if one is missing, doesn't match its hash
 * or is invalid. Parts that `known` contains aren't parsed again, so that the cost depends
 * on the size of a change, not of the configuration.
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
  return {head, contents: selectReferenced(head, contents), parts, config};
}

function parsePart(
  name: string,
  hash: string,
  contents: ReadonlyMap<string, string>,
): ParsedPart {
  const text = contents.get(hash);
  if (text === undefined) throw new Error(`part ${name} is missing`);
  if (contentHash(text) !== hash) throw new Error(`part ${name} is corrupt`);
  const value: unknown = JSON.parse(text);
  if (name === 'services') {
    return {kind: name, value: partSchemas.services.parse(value)};
  }
  if (name === 'routes') {
    return {kind: name, value: partSchemas.routes.parse(value)};
  }
  return {kind: 'organisations', value: partSchemas.organisations.parse(value)};
}

/** Part hashes of `head` that `contents` lacks. */
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

/** SHA-256 of a text in hexadecimal. */
export function contentHash(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function createPart(name: string, value: unknown): ConfigPart {
  const text = JSON.stringify(value);
  return {name, hash: contentHash(text), text};
}

function selectReferenced(
  head: ConfigHead,
  contents: ReadonlyMap<string, string>,
): Map<string, string> {
  const kept = new Map<string, string>();
  for (const hash of Object.values(head.parts)) {
    kept.set(hash, contents.get(hash)!);
  }
  return kept;
}
