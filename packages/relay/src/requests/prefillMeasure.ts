import {EngineClass} from '@lilacledge/policy';
import type {EnginePace} from '@lilacledge/policy';
import type {Clock} from '@lilacledge/shared';

/** Measures the prefill speed of engines with one generation, from the send to its first event. */
export class PrefillMeasure {
  private pending:
    {readonly tokens: number; readonly sinceMs: number} | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly pace: Pick<EnginePace, 'notePrefill'>,
    private readonly engineClass: EngineClass | undefined,
  ) {}

  /**
   * The prompt is sent to an engine that first prefills `aheadTokens`. Nothing is measured for a
   * generation that has to wait there and may be overtaken: the urgent prompts that other
   * entries send meanwhile are unknown, so the engine would seem slow.
   */
  begin(aheadTokens: number, promptTokens: number): void {
    const mayBeOvertaken =
      this.engineClass === EngineClass.CAN_WAIT && aheadTokens > 0;
    this.pending = mayBeOvertaken
      ? undefined
      : {tokens: aheadTokens + promptTokens, sinceMs: this.clock.nowMs()};
  }

  /** The prompt is not sent. */
  cancel(): void {
    this.pending = undefined;
  }

  noteFirstEvent(): void {
    const {pending} = this;
    if (pending === undefined) return;
    this.pending = undefined;
    this.pace.notePrefill(pending.tokens, this.clock.nowMs() - pending.sinceMs);
  }
}
