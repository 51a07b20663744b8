import {assertNever} from '@lilacledge/shared';
import type {Rig} from './rig.js';
import type {PlainCaller} from './rigTypes.js';

/** One step of a sequence of faults and requests. */
export type FaultStep =
  | {readonly kind: 'ask'; readonly who: number; readonly tokens: number}
  | {readonly kind: 'call'; readonly who: number}
  | {readonly kind: 'callAgain'; readonly who: number; readonly which: number}
  | {readonly kind: 'killSidecar'; readonly which: number}
  | {readonly kind: 'restartSidecar'; readonly which: number}
  | {readonly kind: 'pause'; readonly which: number}
  | {readonly kind: 'unpause'; readonly which: number}
  | {readonly kind: 'stall'; readonly which: number}
  | {readonly kind: 'heal'; readonly which: number}
  | {readonly kind: 'endLinks'; readonly which: number}
  | {readonly kind: 'killEntry'; readonly who: number}
  | {readonly kind: 'engineDies'; readonly which: number}
  | {readonly kind: 'answersLost'; readonly which: number}
  | {readonly kind: 'storeDown'; readonly isDown: boolean}
  | {readonly kind: 'storeLosesAnswers'; readonly count: number}
  | {readonly kind: 'storeSave'}
  | {readonly kind: 'storeRestore'}
  | {readonly kind: 'leasesLapse'}
  | {readonly kind: 'listLoses'; readonly which: number}
  | {readonly kind: 'wait'; readonly ms: number};

/** Runs steps on a rig, heals it, and lets every request come to its end. */
export class FaultSequence {
  private readonly dead = new Set<string>();
  private readonly paused = new Set<string>();
  private readonly stalled = new Set<string>();
  private entriesMade = 0;

  constructor(private readonly rig: Rig) {}

  async run(steps: readonly FaultStep[]): Promise<void> {
    for (const step of steps) {
      this.apply(step);
      await this.rig.clock.advance(step.kind === 'wait' ? step.ms : 5);
    }
    await this.healAll();
  }

  /** Requests that never got a final answer. */
  unanswered(): string[] {
    const open = this.rig.callers.filter(({end}) => end.kind === 'open');
    const silent = this.rig.plainCallers.filter(
      (caller) => caller.answers.length === 0 && !this.lost.has(caller),
    );
    return [...open, ...silent].map((caller) => caller.requestId);
  }

  private readonly lost = new Set<PlainCaller>();

  private apply(step: FaultStep): void {
    switch (step.kind) {
      case 'ask':
        this.rig.ask(this.entryId(step.who), {outputTokens: step.tokens});
        return;
      case 'call':
        this.rig.call(this.entryId(step.who));
        return;
      case 'callAgain':
        return this.callAgain(step.who, step.which);
      case 'killSidecar':
        return this.killSidecar(this.sidecarId(step.which));
      case 'restartSidecar':
        return this.restartSidecar(this.sidecarId(step.which));
      case 'pause':
        return this.pause(this.sidecarId(step.which));
      case 'unpause':
        return this.unpause(this.sidecarId(step.which));
      case 'stall':
        return this.stall(this.sidecarId(step.which));
      case 'heal':
        return this.heal(this.sidecarId(step.which));
      case 'endLinks':
        this.rig.network.endLinks(this.address(step.which));
        return;
      case 'killEntry':
        return this.killEntry(this.entryId(step.who));
      case 'engineDies':
        return this.engineDies(this.sidecarId(step.which));
      case 'answersLost':
        return this.loseServiceAnswers(this.sidecarId(step.which));
      case 'storeDown':
        this.rig.platform.faults.isDown = step.isDown;
        return;
      case 'storeLosesAnswers':
        this.rig.platform.faults.lostAnswers = step.count;
        return;
      case 'storeSave':
        this.rig.platform.model.save();
        return;
      case 'storeRestore':
        this.rig.platform.model.restore();
        return;
      case 'leasesLapse':
        this.rig.platform.model.lapseLeases();
        return;
      case 'listLoses':
        this.rig.setMember(this.sidecarId(step.which), undefined);
        return;
      case 'wait':
        return;
      default:
        assertNever(step);
    }
  }

  private callAgain(who: number, which: number): void {
    const earlier = this.rig.plainCallers;
    if (earlier.length === 0) return;
    const {key} = earlier[which % earlier.length]!;
    this.rig.call(this.entryId(who), {key});
  }

  private killSidecar(id: string): void {
    if (this.dead.has(id)) return;
    this.unpause(id);
    this.rig.killSidecar(id);
    this.dead.add(id);
  }

  private restartSidecar(id: string): void {
    if (!this.dead.delete(id)) return;
    this.rig.restartSidecar(id);
  }

  private pause(id: string): void {
    if (this.dead.has(id) || this.paused.has(id)) return;
    this.heal(id);
    this.paused.add(id);
    this.rig.pause(id);
  }

  private unpause(id: string): void {
    if (this.paused.delete(id)) this.rig.unpause(id);
  }

  private stall(id: string): void {
    if (this.paused.has(id) || this.stalled.has(id)) return;
    this.stalled.add(id);
    this.rig.network.stall(this.rig.sidecars.get(id)!.address);
  }

  private heal(id: string): void {
    if (!this.stalled.delete(id)) return;
    this.rig.network.heal(this.rig.sidecars.get(id)!.address);
  }

  /** Kills an entry, starts another, and its callers come back there. */
  private killEntry(id: string): void {
    const {callers} = this.rig.entries.get(id)!;
    const open = [...callers];
    const waiting = this.rig.plainCallers.filter(
      (caller) => caller.answers.length === 0,
    );
    this.rig.killEntry(id);
    for (const caller of waiting) this.lost.add(caller);
    this.rig.setMember(id, undefined);
    this.rig.addEntry(`entry-new-${++this.entriesMade}`, 'calamba');
    const other = [...this.rig.entries.keys()][0]!;
    for (const caller of open) {
      const isReady = this.rig.entries.get(other)!.entry.isReady;
      if (caller.texts.length > 0 && isReady) this.rig.resume(other, caller);
    }
  }

  private engineDies(id: string): void {
    const {engine} = this.rig.sidecars.get(id)!;
    engine?.die();
    engine?.revive();
  }

  private loseServiceAnswers(id: string): void {
    const {plainFaults} = this.rig.sidecars.get(id)!;
    plainFaults.losesAnswers = !plainFaults.losesAnswers;
  }

  private async healAll(): Promise<void> {
    const {faults} = this.rig.platform;
    faults.isDown = false;
    faults.lostAnswers = 0;
    for (const id of this.rig.sidecars.keys()) {
      this.unpause(id);
      this.heal(id);
      this.restartSidecar(id);
    }
    await this.rig.clock.advance(300_000);
  }

  /** An entry that is ready; killed ones are replaced. */
  private entryId(index: number): string {
    const ready = [...this.rig.entries.values()].filter(
      ({entry}) => entry.isReady,
    );
    return ready[index % ready.length]!.instanceId;
  }

  private sidecarId(index: number): string {
    const ids = [...this.rig.sidecars.keys()];
    return ids[index % ids.length]!;
  }

  private address(index: number) {
    return this.rig.sidecars.get(this.sidecarId(index))!.address;
  }
}
