import {
  callerHasEvents,
  isCompleteEnd,
  positionAfter,
} from '@lilacledge/policy';
import type {HarmlessnessProof} from '@lilacledge/policy';
import type {EngineTraits} from '../model/index.js';
import type {CallerExchange} from './callerExchange.js';
import type {CallerStream} from './callerStream.js';
import type {AnsweredAttempt} from './endpointAttempt.js';
import {EventSplitter} from './eventSplitter.js';
import type {SegmentEnd} from './generationEnd.js';
import {createOutputMeter} from './outputMeter.js';
import type {RelayContext} from './relayContext.js';
import type {ActiveRun} from './runRegistry.js';

/** What the segments of one generation share. */
export interface GenerationProgress {
  readonly stream: CallerStream;
  readonly proof: HarmlessnessProof;
  /** Called with the first event of the generation. */
  noteFirstEvent(): void;
}

/** Relays the events that endpoints send for one generation, and judges how their streams end. */
export class EventRelay {
  /** Endpoints whose streams ended in order without an event. */
  private emptyEnds = 0;

  constructor(
    private readonly context: RelayContext,
    private readonly exchange: CallerExchange,
    private readonly traits: EngineTraits,
    private readonly progress: GenerationProgress,
  ) {}

  /** Relays the events of one segment; resolves with its end. */
  async relay(run: ActiveRun, attempt: AnsweredAttempt): Promise<SegmentEnd> {
    const {clock} = this.context;
    const {stream, proof, noteFirstEvent} = this.progress;
    const {head, response} = attempt;
    const splitter = new EventSplitter();
    const meter = createOutputMeter(this.context, run.endpoint, this.traits);
    const eventsBefore = run.eventsRelayed;
    try {
      for await (const chunk of response) {
        for (const event of splitter.feed(chunk as Buffer)) {
          const position = positionAfter(run.position, event);
          if (position === undefined) {
            return {kind: 'cut', detail: `event ${event.id} is out of order`};
          }
          if (run.eventsRelayed === 0) noteFirstEvent();
          meter.noteEvent(clock.nowMs());
          if (proof.noteEvent()) this.noteHarmless();
          await stream.writeEvent(run, head, event, position);
          meter.noteWritten(clock.nowMs());
          if (this.exchange.signal.aborted) {
            return {kind: 'cut', detail: 'the exchange ended'};
          }
        }
      }
    } catch (error) {
      return {kind: 'cut', detail: String(error)};
    }
    const isWhole = response.complete && !(await attempt.isBrokenOff());
    if (!isWhole || splitter.hasPartialEvent) {
      return {kind: 'cut', detail: 'the stream broke off'};
    }
    const hasEvents = run.eventsRelayed > eventsBefore;
    const cutDetail = await this.findCut(run, attempt, hasEvents);
    if (cutDetail !== undefined) return {kind: 'cut', detail: cutDetail};
    if (!stream.hasBegun) stream.start(head);
    if (!proof.isProven) this.noteHarmless();
    return {kind: 'complete'};
  }

  /** Why a stream that was closed in order is not complete; undefined if it is. */
  private async findCut(
    run: ActiveRun,
    {isDelimitedByClose}: AnsweredAttempt,
    hasEvents: boolean,
  ): Promise<string | undefined> {
    if (isDelimitedByClose && (await run.mayBeStopped())) {
      return 'the run was stopped';
    }
    if (!hasEvents) this.emptyEnds++;
    const isComplete = isCompleteEnd({
      isDelimitedByClose,
      hasEvents,
      callerHasEvents: callerHasEvents(run.position),
      emptyEnds: this.emptyEnds,
    });
    return isComplete ? undefined : 'no event came';
  }

  private noteHarmless(): void {
    this.context.suspicions.noteServed(this.exchange);
  }
}
