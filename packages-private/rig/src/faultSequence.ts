import {assertNever} from '@lilacledge/shared';
import type {Rig} from './rig.js';
import type {PlainCaller} from './rigTypes.js';

/**
 * One step of a sequence of faults and requests. An index may exceed the number
 * of entries, sidecars or calls; it wraps around.
 */
export type FaultStep =
  | {
      readonly kind: 'generate';
      readonly entryIndex: number;
      readonly tokens: number;
    }
  | {readonly kind: 'call'; readonly entryIndex: number}
  | {
      readonly kind: 'retryCall';
      readonly entryIndex: number;
      readonly callIndex: number;
    }
  | {readonly kind: 'killSidecar'; readonly sidecarIndex: number}
  | {readonly kind: 'restartSidecar'; readonly sidecarIndex: number}
  | {readonly kind: 'pause'; readonly sidecarIndex: number}
  | {readonly kind: 'unpause'; readonly sidecarIndex: number}
  | {readonly kind: 'stall'; readonly sidecarIndex: number}
  | {readonly kind: 'heal'; readonly sidecarIndex: number}
  | {readonly kind: 'endLinks'; readonly sidecarIndex: number}
  | {readonly kind: 'killEntry'; readonly entryIndex: number}
  | {readonly kind: 'crashEngine'; readonly sidecarIndex: number}
  | {readonly kind: 'toggleLostAnswers'; readonly sidecarIndex: number}
  | {readonly kind: 'setStoreDown'; readonly isDown: boolean}
  | {readonly kind: 'loseStoreAnswers'; readonly count: number}
  | {readonly kind: 'saveStore'}
  | {readonly kind: 'restoreStore'}
  | {readonly kind: 'expireLeases'}
  | {readonly kind: 'removeMember'; readonly sidecarIndex: number}
  | {readonly kind: 'wait'; readonly ms: number};

/**
 * Runs steps on a rig, then clears the faults of processes, links and the store
 * and leaves five minutes for open requests to end.
 */
export class FaultSequence {
  private readonly killedSidecars = new Set<string>();
  private readonly pausedSidecars = new Set<string>();
  private readonly stalledSidecars = new Set<string>();
  private addedEntryCount = 0;

  constructor(private readonly rig: Rig) {}

  async run(steps: readonly FaultStep[]): Promise<void> {
    for (const step of steps) {
      this.applyStep(step);
      await this.rig.clock.advance(step.kind === 'wait' ? step.ms : 5);
    }
    await this.clearFaults();
  }

  /**
   * Ids of the requests without a final answer, except calls that were
   * open when an entry was killed.
   */
  unanswered(): string[] {
    const open = this.rig.callers.filter(({end}) => end.kind === 'open');
    const unansweredCalls = this.rig.plainCallers.filter(
      (caller) => caller.answers.length === 0 && !this.disconnected.has(caller),
    );
    return [...open, ...unansweredCalls].map((caller) => caller.requestId);
  }

  private readonly disconnected = new Set<PlainCaller>();

  private applyStep(step: FaultStep): void {
    switch (step.kind) {
      case 'generate':
        this.rig.generate(this.readyEntryId(step.entryIndex), {
          outputTokens: step.tokens,
        });
        return;
      case 'call':
        this.rig.call(this.readyEntryId(step.entryIndex));
        return;
      case 'retryCall':
        return this.retryCall(step.entryIndex, step.callIndex);
      case 'killSidecar':
        return this.killSidecar(this.sidecarId(step.sidecarIndex));
      case 'restartSidecar':
        return this.restartSidecar(this.sidecarId(step.sidecarIndex));
      case 'pause':
        return this.pause(this.sidecarId(step.sidecarIndex));
      case 'unpause':
        return this.unpause(this.sidecarId(step.sidecarIndex));
      case 'stall':
        return this.stall(this.sidecarId(step.sidecarIndex));
      case 'heal':
        return this.heal(this.sidecarId(step.sidecarIndex));
      case 'endLinks':
        this.rig.network.endLinks(this.address(step.sidecarIndex));
        return;
      case 'killEntry':
        return this.killEntry(this.readyEntryId(step.entryIndex));
      case 'crashEngine':
        return this.crashEngine(this.sidecarId(step.sidecarIndex));
      case 'toggleLostAnswers':
        return this.toggleLostAnswers(this.sidecarId(step.sidecarIndex));
      case 'setStoreDown':
        this.rig.platform.faults.isDown = step.isDown;
        return;
      case 'loseStoreAnswers':
        this.rig.platform.faults.lostAnswers = step.count;
        return;
      case 'saveStore':
        this.rig.platform.model.save();
        return;
      case 'restoreStore':
        this.rig.platform.model.restore();
        return;
      case 'expireLeases':
        this.rig.platform.model.lapseLeases();
        return;
      case 'removeMember':
        this.rig.setMember(this.sidecarId(step.sidecarIndex), undefined);
        return;
      case 'wait':
        return;
      default:
        assertNever(step);
    }
  }

  private retryCall(entryIndex: number, callIndex: number): void {
    const earlierCalls = this.rig.plainCallers;
    if (earlierCalls.length === 0) return;
    const {key} = earlierCalls[callIndex % earlierCalls.length]!;
    this.rig.call(this.readyEntryId(entryIndex), {key});
  }

  private killSidecar(id: string): void {
    if (this.killedSidecars.has(id)) return;
    this.unpause(id);
    this.rig.killSidecar(id);
    this.killedSidecars.add(id);
  }

  private restartSidecar(id: string): void {
    if (!this.killedSidecars.delete(id)) return;
    this.rig.restartSidecar(id);
  }

  private pause(id: string): void {
    if (this.killedSidecars.has(id) || this.pausedSidecars.has(id)) return;
    this.heal(id);
    this.pausedSidecars.add(id);
    this.rig.pause(id);
  }

  private unpause(id: string): void {
    if (this.pausedSidecars.delete(id)) this.rig.unpause(id);
  }

  private stall(id: string): void {
    if (this.pausedSidecars.has(id) || this.stalledSidecars.has(id)) return;
    this.stalledSidecars.add(id);
    this.rig.network.stall(this.rig.sidecars.get(id)!.address);
  }

  private heal(id: string): void {
    if (!this.stalledSidecars.delete(id)) return;
    this.rig.network.heal(this.rig.sidecars.get(id)!.address);
  }

  /**
   * Kills an entry and adds a new one. Callers that received output resume at
   * the first entry that is left, if that entry is ready.
   */
  private killEntry(id: string): void {
    const {connectedCallers} = this.rig.entries.get(id)!;
    const open = [...connectedCallers];
    const waiting = this.rig.plainCallers.filter(
      (caller) => caller.answers.length === 0,
    );
    this.rig.killEntry(id);
    for (const caller of waiting) this.disconnected.add(caller);
    this.rig.setMember(id, undefined);
    this.rig.addEntry(`entry-new-${++this.addedEntryCount}`, 'calamba');
    const other = [...this.rig.entries.keys()][0]!;
    for (const caller of open) {
      const isReady = this.rig.entries.get(other)!.entry.isReady;
      if (caller.texts.length > 0 && isReady) this.rig.resume(other, caller);
    }
  }

  private crashEngine(id: string): void {
    const {engine} = this.rig.sidecars.get(id)!;
    engine?.crash();
    engine?.restart();
  }

  private toggleLostAnswers(id: string): void {
    const {plainFaults} = this.rig.sidecars.get(id)!;
    plainFaults.losesAnswers = !plainFaults.losesAnswers;
  }

  private async clearFaults(): Promise<void> {
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

  /** Id of a ready entry; killed entries are replaced. */
  private readyEntryId(index: number): string {
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
