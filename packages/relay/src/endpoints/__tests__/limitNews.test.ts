import type {LimitStatement} from '@lilacledge/policy';
import {createRandom, VirtualClock} from '@lilacledge/shared';
import {beforeEach, describe, expect, it} from 'vitest';
import {testRecord} from '../../__tests__/testRecord.js';
import {silentLog} from '../../log/boundedLog.js';
import {EndpointDirectory} from '../endpointDirectory.js';
import {EndpointStatements} from '../endpointStatements.js';

const NONE: LimitStatement = {kind: 'none'};

/** Way of a message from one entry to another. */
const LEAST_DELAY_MS = 1;
const SPREAD_MS = 20;

/** A test with more messages than this has a storm, and delivers no more. */
const MOST_DELIVERED = 20_000;

interface Entry {
  readonly statements: EndpointStatements;
  readonly directory: EndpointDirectory;
}

let clock: VirtualClock;
let delivered: number;
let entries: Entry[];

beforeEach(() => {
  clock = new VirtualClock();
  delivered = 0;
});

/** Entries that all link to one another, and pass on what is news to them. */
function startEntries(count: number): void {
  const random = createRandom(5);
  entries = Array.from({length: count}, (_, index) => {
    const directory = new EndpointDirectory(clock, silentLog);
    directory.upsert(testRecord({}), 1);
    const name = `e-${index}`;
    const statements = new EndpointStatements(
      clock,
      silentLog,
      directory,
      name,
    );
    return {statements, directory};
  });
  for (const entry of entries) {
    entry.statements.onLimitToTell((_endpoint, told) => {
      for (const other of entries) {
        if (other === entry) continue;
        clock.after(LEAST_DELAY_MS + random() * SPREAD_MS, () => {
          if (++delivered > MOST_DELIVERED) return;
          other.statements.noteLimitTold(other.directory.get('a')!, told);
        });
      }
    });
  }
}

function answer(index: number, limit: LimitStatement): void {
  const {statements, directory} = entries[index]!;
  statements.noteAnswer(
    directory.get('a')!,
    {limit, isNotRun: false, saysLeaving: false},
    clock.nowMs(),
  );
}

function rates(): Array<number | undefined> {
  return entries.map(({directory}) => directory.get('a')!.terms.limit.perS);
}

describe('news of the rate that an endpoint names', () => {
  // Guards against news that cross, each newer by its way than what it meets, for ever.
  it('end where a begin and an end cross, and leave all with the same', async () => {
    startEntries(4);
    answer(0, {kind: 'stated', perS: 2});
    await clock.advance(100);
    answer(1, NONE);
    answer(2, {kind: 'stated', perS: 1});
    await clock.advance(3_000);
    expect(delivered).toBeLessThan(100);
    expect(new Set(rates()).size).toBe(1);
  });

  it('stay few while a limit comes and goes at all entries', async () => {
    startEntries(8);
    const random = createRandom(9);
    const rounds = 200;
    for (let round = 0; round < rounds; round++) {
      await clock.advance(random() * 40);
      const isNamed = random() < 0.5;
      const index = Math.floor(random() * entries.length);
      answer(index, isNamed ? {kind: 'stated', perS: 2} : NONE);
    }
    await clock.advance(3_000);
    // Each entry passes a piece of news on once.
    expect(delivered).toBeLessThanOrEqual(rounds * 8 * 7);
    expect(new Set(rates()).size).toBe(1);
  });

  // Guards against a life of an entry whose news nobody believes, as it has told less.
  it('are believed of an entry that has started anew', async () => {
    startEntries(3);
    for (let round = 0; round < 10; round++) {
      await clock.advance(300);
      answer(0, round % 2 === 0 ? {kind: 'stated', perS: 2} : NONE);
    }
    await clock.advance(1_000);
    const directory = new EndpointDirectory(clock, silentLog);
    directory.upsert(testRecord({}), 1);
    const anew = new EndpointStatements(clock, silentLog, directory, 'e-1');
    const heard: unknown[] = [];
    anew.onLimitToTell((_endpoint, told) => heard.push(told));
    const head = {limit: {kind: 'stated', perS: 3}, isNotRun: false} as const;
    const endpoint = directory.get('a')!;
    anew.noteAnswer(endpoint, {...head, saysLeaving: false}, clock.nowMs());
    const [other] = entries;
    other!.statements.noteLimitTold(
      other!.directory.get('a')!,
      heard[0] as Parameters<EndpointStatements['noteLimitTold']>[1],
    );
    expect(other!.directory.get('a')!.terms.limit.perS).toBe(3);
  });
});
