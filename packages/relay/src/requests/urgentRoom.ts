import {EngineClass, overtakenFactor} from '@lilacledge/policy';
import type {
  EnginePace,
  SharedEngines,
  UrgentReserve,
} from '@lilacledge/policy';
import type {EngineTraits} from '../model/index.js';
import type {RelayContext} from './relayContext.js';
import type {ActiveRun} from './runRegistry.js';

type UrgentRoomContext = Pick<
  RelayContext,
  'clock' | 'endpoints' | 'entryCount' | 'switches' | 'urgentReserveOf'
>;

/** One generation's part in the room that is kept for urgent ones of its service. */
export class UrgentRoom {
  private hasArrived = false;

  constructor(
    private readonly context: UrgentRoomContext,
    private readonly service: string,
    private readonly traits: EngineTraits,
    private readonly engineClass: EngineClass | undefined,
  ) {}

  /** The generation looks for room, possibly again after an engine rejected it. */
  noteArrived(needTokens: number): void {
    if (this.engineClass !== EngineClass.URGENT || this.hasArrived) return;
    this.hasArrived = true;
    this.reserve.noteArrival(needTokens, this.context.clock.nowMs());
  }

  noteEnded(run: ActiveRun): void {
    if (this.engineClass !== EngineClass.URGENT) return;
    this.reserve.noteHeld(this.context.clock.nowMs() - run.startedMs);
  }

  /**
   * Share of an engine that the generation leaves free; undefined where engines don't order
   * routes, or routes have no ranks.
   */
  get reserveShare(): number | undefined {
    if (!this.context.switches.routeRanks) return undefined;
    switch (this.engineClass) {
      case undefined:
        return undefined;
      case EngineClass.URGENT:
        return 0;
      case EngineClass.CAN_WAIT:
        return this.forecastShare;
    }
  }

  /** Factor by which its wait at an engine is longer, as urgent prompts overtake it. */
  overtakenFactor(pace: EnginePace): number {
    if (this.engineClass !== EngineClass.CAN_WAIT) return 1;
    const nowMs = this.context.clock.nowMs();
    const {reserve, sharedEngines} = this;
    const tokensPerMs = reserve.tokensPerMsAtEngine(sharedEngines, nowMs);
    return overtakenFactor(pace.prefillMs(tokensPerMs));
  }

  private get forecastShare(): number {
    const nowMs = this.context.clock.nowMs();
    return this.reserve.share(this.sharedEngines, nowMs);
  }

  private get sharedEngines(): SharedEngines {
    const {endpoints, entryCount} = this.context;
    let engines = 0;
    for (const {isCandidate} of endpoints.ofService(this.service)) {
      if (isCandidate) engines++;
    }
    const {memoryTokens} = this.traits;
    return {entries: entryCount(), engines, memoryTokens};
  }

  private get reserve(): UrgentReserve {
    return this.context.urgentReserveOf(this.service);
  }
}
