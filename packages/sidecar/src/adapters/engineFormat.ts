import {Verdict} from '@lilacledge/shared';
import {MAX_SHORT_STRING_LENGTH} from '@lilacledge/protocol';
import {EndpointError} from '../ports/endpointError.js';
import type {EngineLoad} from '../ports/enginePort.js';

/** What one event of a completion stream tells. */
export interface CompletionChunk {
  readonly text?: string;
  readonly finishReason?: string;
  readonly promptTokens?: number;
}

/** No engine has more tokens in memory, or runs more generations at once. */
const MAX_AMOUNT = 1e12;

/** Decodes the load report of an engine. Throws if its capacity can't be read. */
export function parseEngineLoad(json: unknown): EngineLoad {
  const fields = fieldsOf(json);
  const amountOf = (name: string): number => {
    const value = fields[name];
    return isAmount(value) ? value : 0;
  };
  const memoryTokens = amountOf('memoryTokens');
  const maxBatch = Math.floor(amountOf('maxBatch'));
  if (memoryTokens === 0 || maxBatch === 0) {
    throw new EndpointError(
      Verdict.NOT_RUN,
      'the capacity of the engine can’t be read',
    );
  }
  return {
    memoryTokens,
    maxBatch,
    usedTokens: amountOf('usedTokens'),
    running: amountOf('running'),
    waiting: amountOf('waiting'),
    preemptions: amountOf('preemptions'),
  };
}

/**
 * Decodes one event of a completion stream. Throws if it has a value that no message to an entry
 * can hold: the entry would close the link, with all other generations on it.
 */
export function parseChunk(data: string): CompletionChunk {
  const {choices, usage} = fieldsOf(parseJson(data));
  const [choice] = Array.isArray(choices) ? (choices as unknown[]) : [];
  const {text, finish_reason: finishReason} = fieldsOf(choice ?? {});
  const {prompt_tokens: promptTokens} = fieldsOf(usage ?? {});
  const isReadable =
    isTextOrAbsent(text) &&
    isTextOrAbsent(finishReason) &&
    (finishReason?.length ?? 0) <= MAX_SHORT_STRING_LENGTH &&
    isCountOrAbsent(promptTokens);
  if (!isReadable) throw unreadable();
  return {
    text: text ?? undefined,
    finishReason: finishReason ?? undefined,
    promptTokens: promptTokens ?? undefined,
  };
}

function parseJson(data: string): unknown {
  try {
    return JSON.parse(data);
  } catch {
    throw unreadable();
  }
}

function fieldsOf(json: unknown): Readonly<Record<string, unknown>> {
  if (typeof json !== 'object' || json === null) throw unreadable();
  return json as Record<string, unknown>;
}

function unreadable(): EndpointError {
  const detail = 'the engine sent what can’t be read';
  return new EndpointError(Verdict.MAY_HAVE_RUN, detail);
}

function isAmount(value: unknown): value is number {
  return typeof value === 'number' && value >= 0 && value <= MAX_AMOUNT;
}

function isTextOrAbsent(value: unknown): value is string | null | undefined {
  return value === undefined || value === null || typeof value === 'string';
}

function isCountOrAbsent(value: unknown): value is number | null | undefined {
  if (value === undefined || value === null) return true;
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
