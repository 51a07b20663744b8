import {beforeEach, describe, expect, it} from 'vitest';
import type {RecordedRun} from '@lilacledge/platform-standins';
import {Ledger} from '../ledger.js';
import {AskKind} from '../soakEvent.js';
import type {Attempt} from '../soakEvent.js';

let ledger: Ledger;

beforeEach(() => {
  ledger = new Ledger();
});

function run(requestId: string, changes: Partial<RecordedRun> = {}): void {
  ledger.note({
    type: 'run',
    requestId,
    endpointId: 'e-1',
    atMs: 0,
    isContinued: false,
    organisation: 'yard',
    hasKey: false,
    ...changes,
  });
}

function attempt(kind: AskKind, changes: Partial<Attempt> = {}): void {
  ledger.note({type: 'sent', atMs: 0, requestId: 'r1', kind: kind});
  ledger.note({
    type: 'attempt',
    requestId: 'r1',
    kind,
    entry: 'entry-0',
    sentAtMs: 0,
    endedAtMs: 1,
    status: 200,
    isComplete: true,
    body: '',
    signature: 's-e-1',
    expectedEvents: 2,
    ...changes,
  });
}

function events(...numbers: number[]): string {
  return numbers.map((n) => `id: ${n}\ndata: r1 ${n}\n\n`).join('');
}

describe('Ledger', () => {
  it('accepts what is as promised', () => {
    attempt(AskKind.DRAFT, {body: events(1, 2)});
    run('r1');
    run('r1', {isContinued: true});
    expect(ledger.violations()).toEqual([]);
  });

  it('accepts a draft that broke off and says so', () => {
    attempt(AskKind.DRAFT, {body: events(1), isComplete: false});
    expect(ledger.violations()).toEqual([]);
  });

  it.each([
    ['an event twice', events(1, 1, 2)],
    ['a missing event', events(1, 3)],
    ['an early end', events(1)],
    ['another’s event', 'id: 1\ndata: r9 1\n\nid: 2\ndata: r1 2\n\n'],
  ])('tells of %s in a draft', (_what, body) => {
    attempt(AskKind.DRAFT, {body});
    expect(ledger.violations()).toHaveLength(1);
  });

  it('tells of a booking that ran twice, and not of a look-up', () => {
    attempt(AskKind.BOOKING, {body: 'answer of e-1 to r1'});
    run('r1');
    run('r1');
    expect(ledger.violations()).toEqual(['booking r1 ran 2 times']);
    const other = new Ledger();
    other.note({type: 'sent', atMs: 0, requestId: 'r1', kind: AskKind.LOOKUP});
    ledger = other;
    run('r1');
    run('r1');
    expect(other.violations()).toEqual([]);
  });

  it('tells of a look-up that ran more often than its route allows', () => {
    ledger.note({type: 'sent', atMs: 0, requestId: 'r1', kind: AskKind.LOOKUP});
    for (let count = 0; count < 3; count++) run('r1');
    expect(ledger.violations()).toEqual(['lookup r1 ran 3 times']);
  });

  it('tells of a refusal of what has run', () => {
    attempt(AskKind.BOOKING, {status: 503, body: ''});
    expect(ledger.violations()).toEqual([]);
    run('r1');
    expect(ledger.violations()).toHaveLength(1);
  });

  it('tells of an answer that belongs to another request', () => {
    attempt(AskKind.BOOKING, {body: 'answer of e-1 to r2'});
    expect(ledger.violations()).toHaveLength(1);
  });

  it('tells of a run that nobody asked for', () => {
    run('forged');
    expect(ledger.violations()).toHaveLength(1);
  });

  it('tells of a key or a wrong organisation at an endpoint', () => {
    attempt(AskKind.BOOKING, {body: 'answer of e-1 to r1'});
    run('r1', {hasKey: true, organisation: 'other'});
    expect(ledger.violations()).toHaveLength(2);
  });

  describe('a run at an endpoint that left', () => {
    beforeEach(() => {
      ledger.leaves.noteLeft('e-1', 10_000);
      attempt(AskKind.BOOKING, {body: 'answer of e-1 to r1'});
    });

    it('is too late after the bound', () => {
      run('r1', {atMs: 12_400});
      expect(ledger.violations()).toHaveLength(1);
    });

    it('is allowed within the bound', () => {
      run('r1', {atMs: 11_900});
      expect(ledger.violations()).toEqual([]);
    });

    it('is allowed once it has started again, and not before', () => {
      ledger.leaves.noteBack('e-1', 13_000);
      run('r1', {atMs: 13_400});
      expect(ledger.violations()).toEqual([]);
      attempt(AskKind.BOOKING, {requestId: 'r2', body: 'answer of e-1 to r2'});
      run('r2', {atMs: 12_900});
      expect(ledger.violations()).toHaveLength(1);
    });

    it('is excused until a while after a disturbance', () => {
      ledger.leaves.noteDisturbed(6_000, 8_000);
      run('r1', {atMs: 12_400});
      expect(ledger.violations()).toEqual([]);
    });

    it('is not excused by one that is long over', () => {
      ledger.leaves.noteDisturbed(1_000, 6_000);
      run('r1', {atMs: 12_400});
      expect(ledger.violations()).toHaveLength(1);
    });
  });
});
