import {AsyncQueue, Verdict} from '@lilacledge/shared';
import {EndpointError} from '@lilacledge/sidecar';
import type {EngineEvent, EnginePort} from '@lilacledge/sidecar';
import type {EngineModel} from '@lilacledge/standins';

type QueuedEvent =
  EngineEvent | {readonly type: 'broken'; readonly detail: string};

/** Connects an engine model to the sidecar's port without a network. */
export function createMemoryEngine(model: EngineModel): EnginePort {
  return {
    async *generate(request, signal) {
      const items = new AsyncQueue<QueuedEvent>();
      const cancel = model.submit(
        {
          id: request.generationId,
          prompt: request.prompt,
          promptTokens: request.promptTokens,
          maxTokens: request.maxTokens,
          priority: request.priority,
        },
        {
          onToken: (text) => items.push({type: 'tokens', texts: [text]}),
          onDone: (finishReason) =>
            items.push({
              type: 'done',
              finishReason,
              promptTokens: request.promptTokens,
            }),
          onBroken: (detail) => items.push({type: 'broken', detail}),
        },
      );
      signal.addEventListener('abort', () => items.close(), {once: true});
      try {
        for await (const item of items) {
          if (item.type === 'broken') {
            throw new EndpointError(Verdict.MAY_HAVE_RUN, item.detail);
          }
          yield item;
          if (item.type === 'done') return;
        }
        throw new EndpointError(Verdict.MAY_HAVE_RUN, 'cancelled');
      } finally {
        cancel();
      }
    },
    readLoad: () => Promise.resolve(model.report()),
  };
}
