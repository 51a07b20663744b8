import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {toPeerMessage} from '../peerMessages.js';

const MEMBERS = {
  type: 'members',
  entries: [{address: '10.0.0.1:80', zone: 'north'}],
  gone: [],
  isZoned: true,
};

const LOAD = {
  type: 'engineLoad',
  queued: 0,
  active: 1,
  memoryUsedTokens: 10,
  memoryTokens: 100,
  promptBacklogTokens: 0,
};

const SUSPICION = {
  type: 'suspicion',
  fingerprint: 'f-1',
  ends: [{life: 'e-1@7', exposure: 'running', agoMs: 5, sentAgoMs: 9}],
  cleared: ['e-0@3'],
};

describe('toPeerMessage', () => {
  it('takes messages of ours', () => {
    expect(toPeerMessage(MEMBERS)).toBe(MEMBERS);
    expect(toPeerMessage(LOAD)).toBe(LOAD);
    expect(toPeerMessage({...LOAD, startedAtMs: 7})).toBeDefined();
    expect(toPeerMessage(SUSPICION)).toBe(SUSPICION);
  });

  it.each([
    ['no list', {...MEMBERS, entries: {}}],
    ['a list with holes', {...MEMBERS, entries: [null]}],
    ['a place without a zone', {...MEMBERS, entries: [{address: 'a:1'}]}],
    ['addresses that are none', {...MEMBERS, gone: [7]}],
    ['a count that is no number', {...LOAD, queued: Number.NaN}],
    ['a count below zero', {...LOAD, memoryUsedTokens: -1}],
    ['a count without end', {...LOAD, memoryTokens: Infinity}],
    ['a start that is a text', {...LOAD, startedAtMs: 'soon'}],
    ['bytes that are none', {type: 'configBody', bytes: {}}],
    ['an end of nothing', {...SUSPICION, ends: [null]}],
    ['an end without an age', {...SUSPICION, ends: [{life: 'e-1'}]}],
    ['ends that are no list', {...SUSPICION, ends: {}}],
    ['a type of the language’s own', {type: 'constructor'}],
  ])('refuses %s', (_name, message) => {
    expect(toPeerMessage(message)).toBeUndefined();
  });

  it('throws on nothing', () => {
    const types = fc.constantFrom('members', 'engineLoad', 'hello', 'x');
    const value = fc.record({type: types, entries: fc.anything()});
    fc.assert(
      fc.property(fc.oneof(value, fc.anything()), (message) => {
        toPeerMessage(message);
      }),
      {seed: 21, numRuns: 1_000},
    );
  });
});
