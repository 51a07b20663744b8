import {Verdict} from '@lilacledge/shared';
import type {Caller} from './caller.js';
import type {Rig} from './rig.js';
import type {PlainCaller} from './rigTypes.js';

/** One broken promise. */
export interface Violation {
  readonly promise: string;
  readonly requestId: string;
  readonly detail: string;
}

/**
 * Judges a run from outside the product: compares what each caller got with
 * what each engine and service says that it did.
 */
export function checkRun(rig: Rig): Violation[] {
  const prompts = promptsByGeneration(rig);
  const started = new Set(
    [...prompts.values()].map((prompt) => callerOf(prompt)),
  );
  return [
    ...rig.callers.flatMap((caller) => checkCaller(caller, prompts, started)),
    ...checkKeys(rig),
    ...rig.plainCallers.flatMap((caller) => checkPlain(rig, caller)),
  ];
}

function checkCaller(
  caller: Caller,
  prompts: ReadonlyMap<string, string>,
  started: ReadonlySet<string>,
): Violation[] {
  const found: Violation[] = [];
  const add = (promise: string, detail: string): void => {
    found.push({promise, requestId: caller.requestId, detail});
  };
  const tokens = caller.texts.map(parseToken);
  const generations = new Set(tokens.map((token) => token.generation));
  if (generations.size > 1) {
    add('one generation', [...generations].join(', '));
  }
  const misplaced = tokens.findIndex((token, index) => token.index !== index);
  if (misplaced >= 0) {
    add('each token once, in order', `token ${misplaced} is wrong`);
  }
  for (const generation of generations) {
    if (callerOf(prompts.get(generation) ?? '') !== caller.requestId) {
      add('right caller', `got tokens of ${generation}`);
    }
  }
  if (
    caller.end.kind === 'complete' &&
    caller.texts.length !== caller.expectedTokens
  ) {
    add('whole answer', `${caller.texts.length} of ${caller.expectedTokens}`);
  }
  if (caller.ends > 1) add('one final answer', `${caller.ends} ends`);
  if (
    caller.end.kind === 'failed' &&
    caller.end.failure.verdict === Verdict.NOT_RUN &&
    started.has(caller.requestId)
  ) {
    add('not run is true', caller.end.failure.kind);
  }
  return found;
}

function checkKeys(rig: Rig): Violation[] {
  const runs = allRuns(rig);
  const counts = new Map<string, number>();
  for (const run of runs) {
    if (run.method !== 'POST') continue;
    counts.set(run.body, (counts.get(run.body) ?? 0) + 1);
  }
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([body, count]) => ({
      promise: 'at most once',
      requestId: body,
      detail: `${count} runs`,
    }));
}

function checkPlain(rig: Rig, caller: PlainCaller): Violation[] {
  const {requestId} = caller;
  if (caller.answers.length > 1) {
    return [{promise: 'one final answer', requestId, detail: 'two answers'}];
  }
  const answer = caller.answers[0];
  if (answer?.kind !== 'failed') return [];
  const hasRun = allRuns(rig).some((run) => run.requestId === requestId);
  if (answer.failure.verdict !== Verdict.NOT_RUN || !hasRun) return [];
  const detail = answer.failure.kind;
  return [{promise: 'not run is true', requestId, detail}];
}

function allRuns(rig: Rig) {
  const plain = [...rig.sidecars.values()].map((sidecar) => sidecar.plain);
  return plain.flatMap((model) => model?.runs ?? []);
}

function promptsByGeneration(rig: Rig): Map<string, string> {
  const prompts = new Map<string, string>();
  for (const {engine} of rig.sidecars.values()) {
    for (const [id, prompt] of engine?.prompts ?? []) prompts.set(id, prompt);
  }
  return prompts;
}

function parseToken(text: string): {generation: string; index: number} {
  const [generation, index] = text.trim().split('#');
  return {generation: generation ?? '', index: Number(index)};
}

function callerOf(prompt: string): string {
  return /\[\[caller=([^\]]+)\]\]/.exec(prompt)?.[1] ?? '';
}
