import {VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {testRecord} from '../../__tests__/testRecord.js';
import {ConfigSource} from '../../config/configKeeper.js';
import type {ConfigListener} from '../../config/configKeeper.js';
import type {RouteTable} from '../../config/routeTable.js';
import {silentLog} from '../../log/boundedLog.js';
import type {EndpointRecord} from '../../model/index.js';
import type {WireCodec} from '../../ports.js';
import {EndpointDirectory} from '../endpointDirectory.js';
import {Registrations} from '../registrations.js';

const PREFIX = 'endpoints/';
const DRAIN_MS = 2_000;

let clock: VirtualClock;
let directory: EndpointDirectory;
let registrations: Registrations;
let named: Set<string>;
let configure: () => void;
let revision: number;

const codec = {
  endpointIdOf: (key: string) => key.slice(PREFIX.length),
  decodeEndpoint: (_key: string, value: Buffer) => {
    const text = value.toString();
    if (!text.startsWith('{')) return {ok: false, problem: 'unreadable'};
    return {ok: true, value: JSON.parse(text) as EndpointRecord};
  },
} as Partial<WireCodec> as WireCodec;

beforeEach(() => {
  clock = new VirtualClock();
  directory = new EndpointDirectory(clock, silentLog);
  named = new Set(['drafts']);
  revision = 0;
  const table = {namesService: (name: string) => named.has(name)};
  const config = {
    current: table as RouteTable | undefined,
    onChange: (listener: ConfigListener) => {
      configure = () => listener(table as RouteTable, ConfigSource.STORE);
    },
  };
  registrations = new Registrations(directory, config, codec, silentLog);
});

function write(id: string, text: string): void {
  const item = {
    key: `${PREFIX}${id}`,
    value: Buffer.from(text),
    revision: ++revision,
  };
  registrations.written(item, clock.nowMs());
}

function entry(id: string, port: number, service = 'drafts'): string {
  const address = {host: '10.0.0.1', port};
  return JSON.stringify(testRecord({id, service, address}));
}

/** Ids of the endpoints that new work is spread over. */
function candidates(): string[] {
  return [...directory.all()]
    .filter(({isCandidate}) => isCandidate)
    .map(({id}) => id)
    .sort();
}

describe('registrations', () => {
  beforeEach(() => {
    write('a', entry('a', 80));
    write('b', entry('b', 81));
  });

  it('name endpoints to use', () => {
    expect(candidates()).toEqual(['a', 'b']);
  });

  describe('an entry that cannot be read', () => {
    it('names no endpoint under a key of its own', () => {
      write('c', 'no entry');
      expect(candidates()).toEqual(['a', 'b']);
    });

    it('takes the endpoint under its key from new work, and no other', () => {
      write('a', 'no entry');
      expect(candidates()).toEqual(['b']);
      const known = directory.get('a')!;
      expect(known.mayGetWork(clock.nowMs(), DRAIN_MS)).toBe(false);
    });

    it('gives way to a good one under the key', () => {
      const known = directory.get('a');
      write('a', 'no entry');
      write('a', entry('a', 80));
      expect(candidates()).toEqual(['a', 'b']);
      // Open runs are still found there.
      expect(directory.get('a')).toBe(known);
    });

    it('wakes requests that wait for an endpoint once it has given way', () => {
      let seen = 0;
      directory.onceSeen('drafts', () => seen++);
      write('a', 'no entry');
      write('a', entry('a', 80));
      expect(seen).toBe(1);
    });

    it('may be removed again', async () => {
      write('a', 'no entry');
      registrations.deleted(`${PREFIX}a`, clock.nowMs());
      await clock.advance(5_000);
      expect([...directory.all()].map(({id}) => id)).toEqual(['b']);
    });
  });

  describe('an entry of a service that no configuration names', () => {
    it('takes no address from the endpoint that has it', () => {
      write('c', entry('c', 80, 'nobody'));
      expect(candidates()).toEqual(['a', 'b']);
      expect(directory.size).toBe(2);
    });

    it('names an endpoint once a configuration names its service', () => {
      write('c', entry('c', 82, 'calls'));
      named.add('calls');
      configure();
      expect(candidates()).toEqual(['a', 'b', 'c']);
    });

    it('names none once it is gone', () => {
      write('c', entry('c', 82, 'calls'));
      registrations.deleted(`${PREFIX}c`, clock.nowMs());
      named.add('calls');
      configure();
      expect(candidates()).toEqual(['a', 'b']);
    });
  });
});
