import {beforeEach, describe, expect, it} from 'vitest';
import {formatAddress} from '../../model/index.js';
import type {EndpointAddress} from '../../model/index.js';
import type {EntryLocation, Members} from '../../peers/peerMessages.js';
import {EntryLinks} from '../entryLinks.js';

let dialled: Set<string>;
let released: string[];
let links: EntryLinks;

beforeEach(() => {
  dialled = new Set();
  released = [];
  links = new EntryLinks('north', {
    dial: (address) => void dialled.add(formatAddress(address)),
    drop: (address) => void dialled.delete(formatAddress(address)),
    release: (address) => void released.push(formatAddress(address)),
  });
});

const SEED: EndpointAddress = {host: '10.0.9.9', port: 80};

function entriesIn(zone: string, ...hosts: string[]): EntryLocation[] {
  return hosts.map((host) => ({address: `${host}:80`, zone}));
}

function receiveMembers(changes: Partial<Members>): void {
  links.updateMembers({
    type: 'members',
    entries: [],
    gone: [],
    isZoned: true,
    ...changes,
  });
}

describe('EntryLinks', () => {
  it('links to all entries of a small fleet', () => {
    links.dial(SEED);
    const entries = [
      ...entriesIn('north', '10.0.0.1'),
      ...entriesIn('south', '10.0.1.1'),
    ];
    receiveMembers({entries, isZoned: false});
    expect([...dialled].sort()).toEqual([
      '10.0.0.1:80',
      '10.0.1.1:80',
      '10.0.9.9:80',
    ]);
  });

  describe('in a large fleet', () => {
    it('drops the seeds once it knows entries of its own zone', () => {
      links.dial(SEED);
      receiveMembers({entries: entriesIn('north', '10.0.0.1', '10.0.0.2')});
      expect([...dialled]).toEqual(['10.0.0.1:80', '10.0.0.2:80']);
    });

    it('keeps the seeds while it knows no entry of its own zone', () => {
      links.dial(SEED);
      receiveMembers({entries: entriesIn('south', '10.0.1.1')});
      expect(dialled.has('10.0.9.9:80')).toBe(true);
    });

    it('keeps its links when an update names another entry', () => {
      receiveMembers({entries: entriesIn('north', '10.0.0.1')});
      receiveMembers({entries: entriesIn('north', '10.0.0.2')});
      expect(dialled.size).toBe(2);
    });
  });

  it('keeps an open link when the registration of its entry is gone', () => {
    receiveMembers({entries: entriesIn('north', '10.0.0.1')});
    receiveMembers({gone: ['10.0.0.1:80']});
    expect(released).toEqual(['10.0.0.1:80']);
    expect(dialled.has('10.0.0.1:80')).toBe(true);
  });

  it('ignores malformed addresses', () => {
    receiveMembers({
      entries: [{address: 'nowhere', zone: 'north'}],
      gone: ['?'],
    });
    expect(dialled.size).toBe(0);
  });
});
