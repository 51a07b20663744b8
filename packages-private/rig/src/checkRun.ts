import {Verdict} from '@lilacledge/shared';
import type {Caller} from './caller.js';
import type {Rig} from './rig.js';
import type {PlainCaller} from './rigTypes.js';

/** A guarantee that did not hold for a request. */
export interface Violation {
  readonly guarantee: string;
  readonly requestId: string;
  readonly detail: string;
}

/**
 * Verifies the guarantees of a run from outside the product: compares what each
 * caller received with what the engine and service models recorded.
 */
export function checkRun(rig: Rig): Violation[] {
  const prompts = promptsByGeneration(rig);
  const startedRequests = new Set(
    [...prompts.values()].map((prompt) => requestIdOf(prompt)),
  );
  return [
    ...rig.callers.flatMap((caller) =>
      checkCaller(caller, prompts, startedRequests),
    ),
    ...checkAtMostOnce(rig),
    ...rig.plainCallers.flatMap((caller) => checkPlainCaller(rig, caller)),
  ];
}

function checkCaller(
  caller: Caller,
  prompts: ReadonlyMap<string, string>,
  startedRequests: ReadonlySet<string>,
): Violation[] {
  const violations: Violation[] = [];
  const report = (guarantee: string, detail: string): void => {
    violations.push({guarantee, requestId: caller.requestId, detail});
  };
  const tokens = caller.texts.map(parseToken);
  const generations = new Set(tokens.map((token) => token.generation));
  if (generations.size > 1) {
    report('one generation', [...generations].join(', '));
  }
  const misplaced = tokens.findIndex((token, index) => token.index !== index);
  if (misplaced >= 0) {
    report('each token once, in order', `token ${misplaced} is out of order`);
  }
  for (const generation of generations) {
    if (requestIdOf(prompts.get(generation) ?? '') !== caller.requestId) {
      report('tokens of its own request', `received tokens of ${generation}`);
    }
  }
  if (
    caller.end.kind === 'complete' &&
    caller.texts.length !== caller.expectedTokens
  ) {
    report(
      'complete output',
      `${caller.texts.length} of ${caller.expectedTokens} tokens`,
    );
  }
  if (caller.ends > 1) report('one final answer', `${caller.ends} times`);
  if (
    caller.end.kind === 'failed' &&
    caller.end.failure.verdict === Verdict.NOT_RUN &&
    startedRequests.has(caller.requestId)
  ) {
    report('verdict notRun is correct', caller.end.failure.kind);
  }
  return violations;
}

function checkAtMostOnce(rig: Rig): Violation[] {
  const runs = allRuns(rig);
  const counts = new Map<string, number>();
  for (const run of runs) {
    if (run.method !== 'POST') continue;
    counts.set(run.body, (counts.get(run.body) ?? 0) + 1);
  }
  return [...counts]
    .filter(([, count]) => count > 1)
    .map(([body, count]) => ({
      guarantee: 'at most once',
      requestId: body,
      detail: `${count} runs`,
    }));
}

function checkPlainCaller(rig: Rig, caller: PlainCaller): Violation[] {
  const {requestId} = caller;
  if (caller.answers.length > 1) {
    return [{guarantee: 'one final answer', requestId, detail: 'two answers'}];
  }
  const answer = caller.answers[0];
  if (answer?.kind !== 'failed') return [];
  const hasRun = allRuns(rig).some((run) => run.requestId === requestId);
  if (answer.failure.verdict !== Verdict.NOT_RUN || !hasRun) return [];
  const detail = answer.failure.kind;
  return [{guarantee: 'verdict notRun is correct', requestId, detail}];
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

function requestIdOf(prompt: string): string {
  return /\[\[caller=([^\]]+)\]\]/.exec(prompt)?.[1] ?? '';
}
