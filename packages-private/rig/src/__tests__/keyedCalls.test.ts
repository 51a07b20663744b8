import type {Failure} from '@lilacledge/shared';
import {slotOfKey} from '@lilacledge/policy';
import {beforeEach, describe, expect, it} from 'vitest';
import {checkRun, Rig, rigConfig} from '../index.js';
import type {PlainCaller, RigSidecar} from '../index.js';

const GRANT_MS = 60_000;
const TIMING = {slotGrantMs: GRANT_MS, slotRoundMs: 1_000};
const SIDECARS = ['home-1', 'home-2', 'home-3'];

async function createFleet(): Promise<Rig> {
  const rig = new Rig({seed: 11});
  for (const id of SIDECARS) rig.addPlain(id, 'booking-api', 'calamba', TIMING);
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

  async function advanceUntilAnswered(
    ...callers: PlainCaller[]
  ): Promise<void> {
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

  function runCount(key: string): number {
    return [...rig.sidecars.values()]
      .flatMap((sidecar) => sidecar.plain?.runs ?? [])
      .filter((run) => run.body.includes(key)).length;
  }

  it('have their key slots spread evenly over the sidecars', () => {
    const peers = rig.entries.get('entry-1')!.entry.pool.all();
    expect(peers.map((peer) => peer.grants.length)).toEqual([8, 8, 8]);
  });

  it('run once when two entries send the same key at the same moment', async () => {
    const key = rig.mintKey();
    const callers = [rig.call('entry-1', {key}), rig.call('entry-2', {key})];
    await advanceUntilAnswered(...callers);
    expect(runCount(key)).toBe(1);
    expect(callers.map((caller) => caller.answers[0]!.kind)).toEqual([
      'answered',
      'answered',
    ]);
  });

  it('are refused when a key is reused with another body', async () => {
    const key = rig.mintKey();
    await advanceUntilAnswered(rig.call('entry-1', {key}));
    const other = rig.call('entry-2', {key, body: '{"drums":9}'});
    await advanceUntilAnswered(other);
    expect(failureOf(other)).toMatchObject({
      kind: 'keyReused',
      verdict: 'notRun',
    });
  });

  describe('the caller’s clock', () => {
    it('is far ahead: the call is refused as notRun', async () => {
      const caller = rig.call('entry-1', {key: rig.mintKey(60_000)});
      await advanceUntilAnswered(caller);
      expect(failureOf(caller)).toMatchObject({
        kind: 'keyFromFuture',
        verdict: 'notRun',
      });
    });

    it('is far behind: the call is refused as mayHaveRun', async () => {
      const caller = rig.call('entry-1', {key: rig.mintKey(-3_600_000)});
      await advanceUntilAnswered(caller);
      expect(failureOf(caller)).toMatchObject({
        kind: 'keyUndecidable',
        verdict: 'mayHaveRun',
      });
    });
  });

  describe('the sidecar that owns the key is killed', () => {
    it('before the call: the call is refused as notRun', async () => {
      const key = rig.mintKey();
      rig.killSidecar(ownerOf(key).instanceId);
      await rig.clock.advance(100);
      const caller = rig.call('entry-1', {key});
      await advanceUntilAnswered(caller);
      expect(failureOf(caller)).toMatchObject({
        kind: 'keyHomeUnavailable',
        verdict: 'notRun',
      });
    });

    it('during the call: the verdict is mayHaveRun, and no other sidecar runs it', async () => {
      const key = rig.mintKey();
      const owner = ownerOf(key);
      owner.plain!.delayMs = 500;
      const caller = rig.call('entry-1', {key});
      await rig.clock.advance(100);
      rig.killSidecar(owner.instanceId);
      await advanceUntilAnswered(caller);
      expect(failureOf(caller).verdict).toBe('mayHaveRun');
      await rig.settle(2 * GRANT_MS);
      const retry = rig.call('entry-2', {key});
      await advanceUntilAnswered(retry);
      expect(failureOf(retry).verdict).toBe('mayHaveRun');
      expect(runCount(key)).toBe(1);
    });

    it('after the call and restarts: the call with the old key does not run a second time', async () => {
      const key = rig.mintKey();
      const owner = ownerOf(key);
      await advanceUntilAnswered(rig.call('entry-1', {key}));
      rig.killSidecar(owner.instanceId);
      rig.restartSidecar(owner.instanceId);
      await rig.settle(10_000);
      const retry = rig.call('entry-1', {key});
      await advanceUntilAnswered(retry);
      expect(failureOf(retry)).toMatchObject({
        kind: 'keyUndecidable',
        verdict: 'mayHaveRun',
      });
      const fresh = rig.call('entry-1');
      await advanceUntilAnswered(fresh);
      expect(fresh.answers[0]!.kind).toBe('answered');
    });

    it('and is replaced after its grant has ended: calls with new keys run', async () => {
      rig.killSidecar('home-1');
      rig.setMember('home-1', undefined);
      await rig.settle(GRANT_MS + 10_000);
      const callers = Array.from({length: 40}, () => rig.call('entry-1'));
      await advanceUntilAnswered(...callers);
      const kinds = new Set(callers.map((caller) => caller.answers[0]!.kind));
      expect([...kinds]).toEqual(['answered']);
    });
  });

  describe('the sidecar that owns the key is paused', () => {
    it('beyond its grant, and resumes with a pending call', async () => {
      const key = rig.mintKey();
      const owner = ownerOf(key);
      const first = rig.call('entry-1', {key});
      rig.pause(owner.instanceId);
      await rig.settle(2 * GRANT_MS);
      const second = rig.call('entry-2', {key});
      await rig.clock.advance(1_000);
      rig.unpause(owner.instanceId);
      await advanceUntilAnswered(first, second);
      expect(runCount(key)).toBeLessThanOrEqual(1);
    });

    it('beyond its grant, and then receives a key minted during the next grant', async () => {
      const earlierKey = rig.mintKey();
      const owner = ownerOf(earlierKey);
      const slot = slotOfKey('clark-yard', earlierKey);
      rig.pause(owner.instanceId);
      await rig.settle(2 * GRANT_MS);
      rig.unpause(owner.instanceId);
      // An entry with an outdated view may still send to the former owner.
      const key = mintKeyForSlot(slot);
      const outcome = await sendDirectly(owner, key);
      expect(outcome).toBe('failed');
    });
  });

  describe('the store', () => {
    it('is unavailable for longer than a grant: calls are refused as notRun until it returns', async () => {
      rig.platform.faults.isDown = true;
      await rig.settle(GRANT_MS / 2);
      const during = rig.call('entry-1');
      await advanceUntilAnswered(during);
      expect(during.answers[0]!.kind).toBe('answered');
      await rig.settle(GRANT_MS);
      const late = rig.call('entry-1');
      await advanceUntilAnswered(late);
      expect(failureOf(late)).toMatchObject({
        kind: 'keyHomeUnavailable',
        verdict: 'notRun',
      });
      rig.platform.faults.isDown = false;
      await rig.settle(15_000);
      const after = rig.call('entry-1');
      await advanceUntilAnswered(after);
      expect(after.answers[0]!.kind).toBe('answered');
    });

    it('returns with an older state: no slot gets a second owner', async () => {
      rig.platform.model.save();
      await rig.settle(3 * GRANT_MS);
      rig.platform.model.restore();
      rig.addPlain('home-4', 'booking-api', 'clark', TIMING);
      await expectDisjointGrantsFor(30_000);
    });

    it('loses the slot records: no slot gets a second owner', async () => {
      const {model} = rig.platform;
      Object.assign(model, {saved: new Map()});
      model.restore();
      rig.addPlain('home-4', 'booking-api', 'clark', TIMING);
      await expectDisjointGrantsFor(30_000);
    });

    it('loses the answers of writes: no slot gets a second owner', async () => {
      rig.platform.faults.lostAnswers = 200;
      rig.addPlain('home-4', 'booking-api', 'clark', TIMING);
      await expectDisjointGrantsFor(30_000);
      const caller = rig.call('entry-1');
      await advanceUntilAnswered(caller);
    });
  });

  describe('the plain service', () => {
    it('cannot be reached: the verdict is notRun, and the key may be used once more', async () => {
      const key = rig.mintKey();
      const owner = ownerOf(key);
      owner.plainFaults.isUnreachable = true;
      const first = rig.call('entry-1', {key});
      await advanceUntilAnswered(first);
      expect(failureOf(first).verdict).toBe('notRun');
      owner.plainFaults.isUnreachable = false;
      const second = rig.call('entry-1', {key});
      await advanceUntilAnswered(second);
      expect(second.answers[0]!.kind).toBe('answered');
    });

    it('runs the call and its answer is lost: a retry does not run it', async () => {
      const key = rig.mintKey();
      const owner = ownerOf(key);
      owner.plainFaults.losesAnswers = true;
      const first = rig.call('entry-1', {key});
      await advanceUntilAnswered(first);
      owner.plainFaults.losesAnswers = false;
      const second = rig.call('entry-2', {key});
      await advanceUntilAnswered(second);
      expect(failureOf(second).verdict).toBe('mayHaveRun');
      expect(runCount(key)).toBe(1);
    });
  });

  it('are sent to the same incarnation once more when the link is lost during the call', async () => {
    const key = rig.mintKey();
    const owner = ownerOf(key);
    owner.plain!.delayMs = 500;
    const caller = rig.call('entry-1', {key});
    await rig.clock.advance(100);
    rig.network.endLinks(owner.address);
    await advanceUntilAnswered(caller);
    expect(caller.answers[0]).toMatchObject({kind: 'answered', isReplay: true});
    expect(runCount(key)).toBe(1);
  });

  it('finish at a draining sidecar, whose slots then get new owners', async () => {
    const key = rig.mintKey();
    const owner = ownerOf(key);
    owner.plain!.delayMs = 500;
    const caller = rig.call('entry-1', {key});
    await rig.clock.advance(100);
    void owner.sidecar.shutdown();
    await advanceUntilAnswered(caller);
    expect(caller.answers[0]!.kind).toBe('answered');
    await rig.settle(15_000);
    const callers = Array.from({length: 40}, () => rig.call('entry-1'));
    await advanceUntilAnswered(...callers);
    const kinds = new Set(callers.map((later) => later.answers[0]!.kind));
    expect([...kinds]).toEqual(['answered']);
  });

  function mintKeyForSlot(slot: number): string {
    for (;;) {
      const key = rig.mintKey();
      if (slotOfKey('clark-yard', key) === slot) return key;
    }
  }

  /** Sends a call to `owner` regardless of grants, as with an outdated view. */
  async function sendDirectly(owner: RigSidecar, key: string): Promise<string> {
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

  async function expectDisjointGrantsFor(durationMs: number): Promise<void> {
    for (let ms = 0; ms < durationMs; ms += 100) {
      await rig.clock.advance(100);
      expectDisjointGrants();
    }
  }

  /** No two live sidecars hold grants for the same slot and mint time. */
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
