import type {Failure} from '@lilacledge/shared';
import {slotOfKey} from '@lilacledge/policy';
import {beforeEach, describe, expect, it} from 'vitest';
import {checkRun, Rig, rigConfig} from '../index.js';
import type {PlainCaller, RigSidecar} from '../index.js';

const GRANT_MS = 60_000;
const EXTRA = {slotGrantMs: GRANT_MS, slotRoundMs: 1_000};
const HOMES = ['home-1', 'home-2', 'home-3'];

async function createFleet(): Promise<Rig> {
  const rig = new Rig({seed: 11});
  for (const id of HOMES) rig.addPlain(id, 'booking-api', 'calamba', EXTRA);
  rig.addEntry('entry-1', 'calamba');
  rig.addEntry('entry-2', 'clark');
  await rig.applyConfig(rigConfig());
  await rig.settle();
  return rig;
}

describe('calls that may not be repeated', () => {
  let rig: Rig;

  beforeEach(async () => {
    rig = await createFleet();
  });

  function ownerOf(key: string): RigSidecar {
    const slot = slotOfKey('clark-yard', key);
    const peers = rig.entries.get('entry-1')!.entry.pool.all();
    const owner = peers.find((peer) =>
      peer.grants.some((grant) => grant.slot === slot),
    );
    return rig.sidecars.get(owner!.member.instanceId)!;
  }

  async function untilAnswered(...callers: PlainCaller[]): Promise<void> {
    await rig.clock.advanceUntil(() =>
      callers.every((caller) => caller.answers.length > 0),
    );
    expect(checkRun(rig)).toEqual([]);
  }

  function failureOf(caller: PlainCaller): Failure {
    const answer = caller.answers[0]!;
    if (answer.kind === 'answered') throw new Error('was answered');
    return answer.failure;
  }

  function runsOf(key: string): number {
    return [...rig.sidecars.values()]
      .flatMap((sidecar) => sidecar.plain?.runs ?? [])
      .filter((run) => run.body.includes(key)).length;
  }

  it('spreads the slots over the homes', () => {
    const peers = rig.entries.get('entry-1')!.entry.pool.all();
    expect(peers.map((peer) => peer.grants.length)).toEqual([8, 8, 8]);
  });

  it('runs a key once when two entries send it at the same moment', async () => {
    const key = rig.mintKey();
    const callers = [rig.call('entry-1', {key}), rig.call('entry-2', {key})];
    await untilAnswered(...callers);
    expect(runsOf(key)).toBe(1);
    expect(callers.map((caller) => caller.answers[0]!.kind)).toEqual([
      'answered',
      'answered',
    ]);
  });

  it('refuses the same key with another body', async () => {
    const key = rig.mintKey();
    await untilAnswered(rig.call('entry-1', {key}));
    const other = rig.call('entry-2', {key, body: '{"drums":9}'});
    await untilAnswered(other);
    expect(failureOf(other)).toMatchObject({
      kind: 'keyReused',
      verdict: 'notRun',
    });
  });

  describe('the caller’s clock', () => {
    it('is far ahead: refused as not run', async () => {
      const caller = rig.call('entry-1', {key: rig.mintKey(60_000)});
      await untilAnswered(caller);
      expect(failureOf(caller)).toMatchObject({
        kind: 'keyFromFuture',
        verdict: 'notRun',
      });
    });

    it('is far behind: refused, and whether it ran is left open', async () => {
      const caller = rig.call('entry-1', {key: rig.mintKey(-3_600_000)});
      await untilAnswered(caller);
      expect(failureOf(caller)).toMatchObject({
        kind: 'keyUndecidable',
        verdict: 'mayHaveRun',
      });
    });
  });

  describe('the home dies', () => {
    it('before the call: refused as not run, and a new key finds another', async () => {
      const key = rig.mintKey();
      rig.killSidecar(ownerOf(key).instanceId);
      await rig.clock.advance(100);
      const caller = rig.call('entry-1', {key});
      await untilAnswered(caller);
      expect(failureOf(caller)).toMatchObject({
        kind: 'keyHomeUnavailable',
        verdict: 'notRun',
      });
    });

    it('during the call: it may have run, and no other home runs it', async () => {
      const key = rig.mintKey();
      const owner = ownerOf(key);
      owner.plain!.delayMs = 500;
      const caller = rig.call('entry-1', {key});
      await rig.clock.advance(100);
      rig.killSidecar(owner.instanceId);
      await untilAnswered(caller);
      expect(failureOf(caller).verdict).toBe('mayHaveRun');
      await rig.settle(2 * GRANT_MS);
      const again = rig.call('entry-2', {key});
      await untilAnswered(again);
      expect(failureOf(again).verdict).toBe('mayHaveRun');
      expect(runsOf(key)).toBe(1);
    });

    it('after the call and comes back: the old key is not run again', async () => {
      const key = rig.mintKey();
      const owner = ownerOf(key);
      await untilAnswered(rig.call('entry-1', {key}));
      rig.killSidecar(owner.instanceId);
      rig.restartSidecar(owner.instanceId);
      await rig.settle(10_000);
      const again = rig.call('entry-1', {key});
      await untilAnswered(again);
      expect(failureOf(again)).toMatchObject({
        kind: 'keyUndecidable',
        verdict: 'mayHaveRun',
      });
      const fresh = rig.call('entry-1');
      await untilAnswered(fresh);
      expect(fresh.answers[0]!.kind).toBe('answered');
    });

    it('is replaced after its grant has ended: new keys run again', async () => {
      rig.killSidecar('home-1');
      rig.setMember('home-1', undefined);
      await rig.settle(GRANT_MS + 10_000);
      const callers = Array.from({length: 40}, () => rig.call('entry-1'));
      await untilAnswered(...callers);
      const kinds = new Set(callers.map((caller) => caller.answers[0]!.kind));
      expect([...kinds]).toEqual(['answered']);
    });
  });

  describe('the home is paused', () => {
    it('past its grant, and wakes with a call in hand', async () => {
      const key = rig.mintKey();
      const owner = ownerOf(key);
      const first = rig.call('entry-1', {key});
      rig.pause(owner.instanceId);
      await rig.settle(2 * GRANT_MS);
      const second = rig.call('entry-2', {key});
      await rig.clock.advance(1_000);
      rig.unpause(owner.instanceId);
      await untilAnswered(first, second);
      expect(runsOf(key)).toBeLessThanOrEqual(1);
    });

    it('past its grant, and then gets a key minted in the new one', async () => {
      const probe = rig.mintKey();
      const owner = ownerOf(probe);
      const slot = slotOfKey('clark-yard', probe);
      rig.pause(owner.instanceId);
      await rig.settle(2 * GRANT_MS);
      rig.unpause(owner.instanceId);
      // A stale entry may still send here: ask the old home itself.
      const key = mintForSlot(slot);
      const outcome = await askDirectly(owner, key);
      expect(outcome).toBe('failed');
    });
  });

  describe('the store', () => {
    it('is out for longer than a grant: keys are refused, none runs twice', async () => {
      rig.platform.faults.isDown = true;
      await rig.settle(GRANT_MS / 2);
      const during = rig.call('entry-1');
      await untilAnswered(during);
      expect(during.answers[0]!.kind).toBe('answered');
      await rig.settle(GRANT_MS);
      const late = rig.call('entry-1');
      await untilAnswered(late);
      expect(failureOf(late)).toMatchObject({
        kind: 'keyHomeUnavailable',
        verdict: 'notRun',
      });
      rig.platform.faults.isDown = false;
      await rig.settle(15_000);
      const after = rig.call('entry-1');
      await untilAnswered(after);
      expect(after.answers[0]!.kind).toBe('answered');
    });

    it('comes back older: no slot gets a second owner', async () => {
      rig.platform.model.save();
      await rig.settle(3 * GRANT_MS);
      rig.platform.model.restore();
      rig.addPlain('home-4', 'booking-api', 'clark', EXTRA);
      await expectOneOwnerFor(30_000);
    });

    it('loses the slot records: no slot gets a second owner', async () => {
      const {model} = rig.platform;
      Object.assign(model, {saved: new Map()});
      model.restore();
      rig.addPlain('home-4', 'booking-api', 'clark', EXTRA);
      await expectOneOwnerFor(30_000);
    });

    it('loses the answers of writes: slots stay owned once', async () => {
      rig.platform.faults.lostAnswers = 200;
      rig.addPlain('home-4', 'booking-api', 'clark', EXTRA);
      await expectOneOwnerFor(30_000);
      const caller = rig.call('entry-1');
      await untilAnswered(caller);
    });
  });

  describe('the plain service', () => {
    it('cannot be reached: not run, and the key may be used again', async () => {
      const key = rig.mintKey();
      const owner = ownerOf(key);
      owner.plainFaults.isUnreachable = true;
      const first = rig.call('entry-1', {key});
      await untilAnswered(first);
      expect(failureOf(first).verdict).toBe('notRun');
      owner.plainFaults.isUnreachable = false;
      const second = rig.call('entry-1', {key});
      await untilAnswered(second);
      expect(second.answers[0]!.kind).toBe('answered');
    });

    it('runs the call and loses the answer: never run again', async () => {
      const key = rig.mintKey();
      const owner = ownerOf(key);
      owner.plainFaults.losesAnswers = true;
      const first = rig.call('entry-1', {key});
      await untilAnswered(first);
      owner.plainFaults.losesAnswers = false;
      const second = rig.call('entry-2', {key});
      await untilAnswered(second);
      expect(failureOf(second).verdict).toBe('mayHaveRun');
      expect(runsOf(key)).toBe(1);
    });
  });

  it('asks the same incarnation again when the link is lost on the way', async () => {
    const key = rig.mintKey();
    const owner = ownerOf(key);
    owner.plain!.delayMs = 500;
    const caller = rig.call('entry-1', {key});
    await rig.clock.advance(100);
    rig.network.endLinks(owner.address);
    await untilAnswered(caller);
    expect(caller.answers[0]).toMatchObject({kind: 'answered', isReplay: true});
    expect(runsOf(key)).toBe(1);
  });

  it('lets a draining home finish, and hands its slots over', async () => {
    const key = rig.mintKey();
    const owner = ownerOf(key);
    owner.plain!.delayMs = 500;
    const caller = rig.call('entry-1', {key});
    await rig.clock.advance(100);
    void owner.sidecar.shutdown();
    await untilAnswered(caller);
    expect(caller.answers[0]!.kind).toBe('answered');
    await rig.settle(15_000);
    const callers = Array.from({length: 40}, () => rig.call('entry-1'));
    await untilAnswered(...callers);
    const kinds = new Set(callers.map((later) => later.answers[0]!.kind));
    expect([...kinds]).toEqual(['answered']);
  });

  function mintForSlot(slot: number): string {
    for (;;) {
      const key = rig.mintKey();
      if (slotOfKey('clark-yard', key) === slot) return key;
    }
  }

  /** Sends a call past the entries' own view, as a stale entry would. */
  async function askDirectly(owner: RigSidecar, key: string): Promise<string> {
    const peer = rig.entries.get('entry-1')!.entry.pool.find(owner.instanceId)!;
    await rig.clock.advanceUntil(() => peer.isOpen);
    const call = peer.openCall()!;
    call.send({
      type: 'call',
      callId: call.callId,
      requestId: 'direct',
      organisationId: 'clark-yard',
      method: 'POST',
      path: '/bookings',
      contentType: 'application/json',
      body: Buffer.from(key),
      key,
      traceparent: '',
    });
    const next = call.messages.next();
    await rig.clock.advance(1_000);
    const {value} = await next;
    return (value as {type: string}).type;
  }

  async function expectOneOwnerFor(durationMs: number): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += 100) {
      await rig.clock.advance(100);
      expectDisjointGrants();
    }
  }

  /** No mint time of a slot is granted to two live homes. */
  function expectDisjointGrants(): void {
    const grants = [...rig.sidecars.values()].flatMap(({sidecar}) =>
      sidecar.grants(),
    );
    for (const [index, grant] of grants.entries()) {
      for (const other of grants.slice(index + 1)) {
        if (grant.slot !== other.slot) continue;
        const isDisjoint =
          grant.untilWallMs <= other.fromWallMs ||
          other.untilWallMs <= grant.fromWallMs;
        expect(isDisjoint, `slot ${grant.slot}`).toBe(true);
      }
    }
  }
});
