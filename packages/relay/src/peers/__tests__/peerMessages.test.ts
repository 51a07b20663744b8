import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {parsePeerMessage, readsType} from '../peerMessages.js';

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

const RUN = {
  type: 'runStarted',
  requestId: 'r',
  promptTokens: 3_080,
  expectedOutputTokens: 748,
};
const ASK = {type: 'loadAsk', requestId: 'r', promptTokens: 9};

const SUSPICION = {
  type: 'suspicion',
  fingerprint: 'f-1',
  ends: [{life: 'e-1@7', exposure: 'running', agoMs: 5, sentAgoMs: 9}],
  cleared: ['e-0@3'],
};

const LONG_SUSPICION = {
  ...SUSPICION,
  type: 'longSuspicion',
  ends: [{...SUSPICION.ends[0], company: Array(600).fill('part-1')}],
};

const LONG_NAME = 'a'.repeat(201);

const REPORT = {
  origin: 'entry-1 x7',
  version: 3,
  service: 's',
  waitingUrgent: 0,
  waitingOthers: 2,
  uses: [['a', 9_000, 0, 3_000]],
  returns: [[250, 4]],
};

/** A message with one report, with changes to it. */
function demand(changes: object = {}): object {
  return {type: 'demand', reports: [{...REPORT, ...changes}]};
}

describe('parsePeerMessage', () => {
  it('accepts valid messages', () => {
    expect(parsePeerMessage(MEMBERS)).toBe(MEMBERS);
    expect(parsePeerMessage(LOAD)).toBe(LOAD);
    expect(parsePeerMessage({...LOAD, startedAtMs: 7})).toBeDefined();
    expect(parsePeerMessage({...LOAD, outputTokenMs: 7.2})).toBeDefined();
    expect(parsePeerMessage(LONG_SUSPICION)).toBe(LONG_SUSPICION);
    expect(parsePeerMessage(RUN)).toBe(RUN);
    expect(parsePeerMessage({...RUN, tellsPace: true})).toBeDefined();
    expect(parsePeerMessage(SUSPICION)).toBe(SUSPICION);
    const ordered = {...LOAD, urgentBacklogTokens: 0};
    expect(parsePeerMessage(ordered)).toBe(ordered);
    expect(parsePeerMessage(demand())).toBeDefined();
    expect(parsePeerMessage(demand({uses: [], returns: []}))).toBeDefined();
  });

  it.each([
    ['an object instead of a list', {...MEMBERS, entries: {}}],
    ['a list that contains null', {...MEMBERS, entries: [null]}],
    ['an entry without a zone', {...MEMBERS, entries: [{address: 'a:1'}]}],
    ['an address that is a number', {...MEMBERS, gone: [7]}],
    ['a count that is NaN', {...LOAD, queued: Number.NaN}],
    ['a negative count', {...LOAD, memoryUsedTokens: -1}],
    ['an infinite count', {...LOAD, memoryTokens: Infinity}],
    ['a start time that is a string', {...LOAD, startedAtMs: 'soon'}],
    ['a negative time per token', {...LOAD, outputTokenMs: -1}],
    ['a flag that is a number', {...RUN, tellsPace: 1}],
    ['a negative urgent backlog', {...LOAD, urgentBacklogTokens: -1}],
    ['a priority that is a string', {...ASK, enginePriority: 'high'}],
    ['bytes that are an object', {type: 'configBody', bytes: {}}],
    ['a crash end that is null', {...SUSPICION, ends: [null]}],
    ['a crash end without ages', {...SUSPICION, ends: [{life: 'e-1'}]}],
    ['crash ends that are not a list', {...SUSPICION, ends: {}}],
    ['a demand without an origin', demand({origin: undefined})],
    ['a negative version', demand({version: -1})],
    ['a use that is an object', demand({uses: [{organisation: 'a'}]})],
    ['a use without waiting requests', demand({uses: [['a', 9_000]]})],
    ['a use of negative size', demand({uses: [['a', -1, 0, 0]]})],
    ['a use of an unnamed organisation', demand({uses: [[7, 1, 0, 0]]})],
    ['a use of a very long name', demand({uses: [[LONG_NAME, 1, 0, 0]]})],
    ['too many uses', demand({uses: Array(201).fill(['a', 1, 0, 0])})],
    ['returns at no time', demand({returns: [[Infinity, 1]]})],
    ['returns that are not pairs', demand({returns: [[250]]})],
    ['too many returns', demand({returns: Array(201).fill([250, 1])})],
    ['demand that is not a list', {type: 'demand', reports: REPORT}],
    ['too many reports', {type: 'demand', reports: Array(41).fill(REPORT)}],
    ['a report that is null', {type: 'demand', reports: [null]}],
    ['a type that is an inherited property of objects', {type: 'constructor'}],
  ])('rejects %s', (_name, message) => {
    expect(parsePeerMessage(message)).toBeUndefined();
  });

  it('does not throw on any input', () => {
    const types = fc.constantFrom(
      'members',
      'engineLoad',
      'hello',
      'demand',
      'x',
    );
    const value = fc.record({
      type: types,
      entries: fc.anything(),
      reports: fc.array(fc.anything()),
    });
    fc.assert(
      fc.property(fc.oneof(value, fc.anything()), (message) => {
        parsePeerMessage(message);
      }),
      {seed: 21, numRuns: 1_000},
    );
  });
});

describe('readsType', () => {
  const hello = {
    type: 'hello',
    instance: 'entry-1',
    role: 'entry',
    zone: 'north',
  } as const;

  // Guards against links that an entry of an earlier build closes over a message that it
  // does not know, again after each report in a shortage.
  it('excludes new messages to builds that do not announce them', () => {
    expect(readsType(hello, 'demand')).toBe(false);
    expect(readsType(hello, 'moveAsk')).toBe(false);
    expect(readsType(hello, 'longSuspicion')).toBe(false);
    expect(readsType(hello, 'retryUse')).toBe(true);
    expect(readsType({...hello, readsTypes: ['demand']}, 'demand')).toBe(true);
  });
});
