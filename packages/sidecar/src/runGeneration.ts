import {FailureKind, mayHaveRun, notRun, Verdict} from '@lilacledge/shared';
import type {HopSpan} from '@lilacledge/telemetry';
import type {Generation} from './generation.js';
import {EndpointError} from './ports/endpointError.js';
import type {EnginePort} from './ports/enginePort.js';

/** When a caller may come back after its engine has failed. */
const ENGINE_RETRY_MS = 1_000;

/** What a run tells the sidecar while it goes on. */
export interface RunObserver {
  progressed(generation: Generation, tokens: number): void;
}

/** Runs one admitted generation at the engine until it has ended. */
export async function runGeneration(
  engine: EnginePort,
  generation: Generation,
  observer: RunObserver,
  span: HopSpan,
): Promise<void> {
  const {model, prompt, promptTokens, maxTokens, priority} = generation.request;
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
      if (event.type === 'tokens') {
        generation.append(event.texts);
        observer.progressed(generation, event.texts.length);
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
    fail(generation, error);
    span.end('failed', String(error));
  }
}

function fail(generation: Generation, error: unknown): void {
  const isUnsent =
    error instanceof EndpointError &&
    error.verdict === Verdict.NOT_RUN &&
    generation.produced === 0;
  const build = isUnsent ? notRun : mayHaveRun;
  const failure = build(
    FailureKind.ENDPOINT_FAILED,
    error instanceof Error ? error.message : String(error),
    ENGINE_RETRY_MS,
  );
  generation.finish({kind: 'failed', failure});
}
