import {once} from 'node:events';
import type {ServingTimes, StreamPosition} from '@lilacledge/policy';
import type {AnswerHead} from '../ports.js';
import {startStream} from './answerCaller.js';
import {AbortCause} from './callerExchange.js';
import type {CallerExchange} from './callerExchange.js';
import type {StreamEvent} from './eventSplitter.js';
import type {SegmentEnd} from './generationEnd.js';
import type {HeldEvents} from './heldEvents.js';
import type {RelayContext} from './relayContext.js';
import type {ActiveRun} from './runRegistry.js';

/** Writes the events of one generation to the caller, in order and each exactly once. */
export class CallerStream {
  /** True once the head of the answer was sent to the caller. */
  hasBegun = false;
  firstEventMs: number | undefined;
  /** Longest pause between two events written, no matter when the caller takes them. */
  longestPauseMs = 0;
  /** Undefined before the head was sent, and where slow readers are not buffered for. */
  private held: HeldEvents | undefined;
  private eventsWritten = 0;

  constructor(
    private readonly context: RelayContext,
    private readonly exchange: CallerExchange,
  ) {}

  /** Times by which the answer counts as in time; without an event, the age so far. */
  get times(): ServingTimes {
    const firstMs = this.firstEventMs ?? this.exchange.ageMs;
    return {firstMs, longestPauseMs: this.longestPauseMs};
  }

  /** Writes an event, after which the caller stands at `position`. */
  async writeEvent(
    run: ActiveRun,
    head: AnswerHead,
    event: StreamEvent,
    position: StreamPosition,
  ): Promise<void> {
    const {response, signal} = this.exchange;
    if (!this.hasBegun) this.start(head);
    run.eventsRelayed++;
    // The run continues here, so the other destinations of its last handover are obsolete.
    run.remainingHandover = undefined;
    run.position = position;
    this.eventsWritten++;
    this.notePause(run);
    if (this.held !== undefined) {
      this.held.write(event.bytes);
      if (this.held.isPaused) await this.held.whenResumed(signal);
      return;
    }
    if (response.write(event.bytes)) return;
    // Backpressure: the endpoint is not read until the caller has read what was written.
    await once(response, 'drain', {signal}).catch(() => {});
  }

  /**
   * Returns how the answer ends for the caller, once the response may be ended in order: a
   * complete answer when all held events were given to the connection, one that is to be cut
   * when the connection has taken them, or either when the caller left or was given up.
   */
  async deliverHeld(end: SegmentEnd): Promise<SegmentEnd> {
    const {held} = this;
    if (held === undefined) return end;
    held.noteAnswered();
    if (end.kind !== 'complete') {
      await held.whenTaken();
      return end;
    }
    if (!held.hasQueued) return end;
    await held.whenGiven();
    if (!this.exchange.response.destroyed) return end;
    return {kind: 'cut', detail: 'the caller did not read the answer'};
  }

  private notePause(run: ActiveRun): void {
    const nowMs = this.context.clock.nowMs();
    const pauseMs = nowMs - (run.lastEventAtMs ?? nowMs);
    this.longestPauseMs = Math.max(this.longestPauseMs, pauseMs);
    run.firstEventAtMs ??= nowMs;
    run.lastEventAtMs = nowMs;
    this.exchange.lastWrittenMs = nowMs;
    run.isLate = this.isLate;
  }

  /** True once an event came later than the goals of the route allow. */
  private get isLate(): boolean {
    const {latencyGoalMs, pauseGoalMs} = this.exchange.allowed.route;
    const {firstEventMs = 0, longestPauseMs} = this;
    if (firstEventMs > latencyGoalMs) return true;
    return pauseGoalMs !== undefined && longestPauseMs > pauseGoalMs;
  }

  start(head: AnswerHead): void {
    this.hasBegun = true;
    this.firstEventMs = Math.round(this.exchange.ageMs);
    const {context, exchange} = this;
    startStream(exchange.response, context.closing, head);
    if (context.switches.slowReaders) {
      this.held = context.heldStreams.open(
        exchange.response,
        exchange.deadlineMs,
        (held) => this.giveUp(held),
      );
    }
    context.metrics.noteFirstEvent(exchange.allowed.route, exchange.ageMs);
  }

  private giveUp(held: HeldEvents): void {
    const {context, exchange} = this;
    context.metrics.readersTooSlow.inc();
    context.log.warn('stream.readerTooSlow', {
      request: exchange.id,
      route: exchange.allowed.route.name,
      heldBytes: held.heldBytes,
      processHeldBytes: context.heldStreams.totalBytes,
      events: this.eventsWritten,
      ageMs: Math.round(exchange.ageMs),
    });
    exchange.ended.abort(AbortCause.READER_TOO_SLOW);
    exchange.response.destroy();
    held.close();
  }
}
