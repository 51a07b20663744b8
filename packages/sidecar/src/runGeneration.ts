import {FailureKind, mayHaveRun, notRun, Verdict} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';
import type {RequestSpan} from '@lilacledge/telemetry';
import type {Generation} from './generation.js';
import {EndpointError} from './ports/endpointError.js';
import type {EnginePort} from './ports/enginePort.js';

/** Retry delay that callers get after their engine has failed. */
const ENGINE_FAILURE_RETRY_MS = 1_000;

/** Time of the latest event of any generation of an engine. */
export interface EngineActivity {
  lastEventAtMs: number;
}

/** Settings of one generation run. */
export interface RunSettings {
  readonly clock: Clock;
  /** Priority at the engine; lower values run first. */
  readonly priority: number;
  /** The run fails when the engine has sent no event for this long. */
  readonly engineSilenceMs: number;
  readonly activity: EngineActivity;
}

/** Receives the progress of a run. */
export interface RunObserver {
  onTokens(generation: Generation, tokens: number): void;
}

/** Runs one admitted generation at the engine until it ends. */
export async function runGeneration(
  engine: EnginePort,
  generation: Generation,
  settings: RunSettings,
  observer: RunObserver,
  span: RequestSpan,
): Promise<void> {
  const {model, prompt, promptTokens, maxTokens} = generation.request;
  const {priority} = settings;
  const idleWatch = startIdleWatch(settings, () => {
    failGeneration(generation, new Error('the engine was silent for too long'));
    generation.abort.abort();
  });
  try {
    const events = engine.generate(
      {
        generationId: generation.id,
        model,
        prompt,
        promptTokens,
        maxTokens,
        priority,
        traceparent: span.traceparent,
      },
      generation.abort.signal,
    );
    for await (const event of events) {
      idleWatch.noteEvent();
      if (event.type === 'tokens') {
        generation.append(event.texts);
        observer.onTokens(generation, event.texts.length);
        continue;
      }
      const {finishReason} = event;
      generation.finish({
        kind: 'done',
        finishReason,
        promptTokens: event.promptTokens,
      });
      span.end('ok');
      return;
    }
    throw new EndpointError(Verdict.MAY_HAVE_RUN, 'the engine broke off');
  } catch (error) {
    failGeneration(generation, error);
    span.end('failed', String(error));
  } finally {
    idleWatch.stop();
  }
}

interface IdleWatch {
  noteEvent(): void;
  stop(): void;
}

/**
 * Calls `onTimeout` once the engine has sent no event to any generation for
 * `engineSilenceMs`. Events of other generations count, since a generation that
 * waits inside a working engine is no sign of a frozen engine.
 */
function startIdleWatch(
  settings: RunSettings,
  onTimeout: () => void,
): IdleWatch {
  const {clock, engineSilenceMs, activity} = settings;
  const startedMs = clock.nowMs();
  let cancel = clock.after(engineSilenceMs, check);
  function check(): void {
    const sinceMs = Math.max(startedMs, activity.lastEventAtMs);
    const remainingMs = sinceMs + engineSilenceMs - clock.nowMs();
    if (remainingMs <= 0) onTimeout();
    else cancel = clock.after(remainingMs, check);
  }
  return {
    noteEvent: () => {
      activity.lastEventAtMs = clock.nowMs();
    },
    stop: () => cancel(),
  };
}

function failGeneration(generation: Generation, error: unknown): void {
  const isNotRun =
    error instanceof EndpointError &&
    error.verdict === Verdict.NOT_RUN &&
    generation.producedTokens === 0;
  const createFailure = isNotRun ? notRun : mayHaveRun;
  const failure = createFailure(
    FailureKind.ENDPOINT_FAILED,
    error instanceof Error ? error.message : String(error),
    ENGINE_FAILURE_RETRY_MS,
  );
  generation.finish({kind: 'failed', failure});
}
