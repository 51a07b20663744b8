/** Share of the longest wait after which a long prompt has its whole allowance. */
const FULL_ALLOWANCE_WAITED_SHARE = 0.15;

/** Memory of an engine, as estimated by an entry. */
export interface EngineMemory {
  readonly usedTokens: number;
  /** How much may be in use after admitting the generation. */
  readonly usableTokens: number;
}

/** A generation for which room is sought. */
export interface MemoryDemand {
  /** Memory that it occupies once its prompt is prefilled. */
  readonly tokens: number;
  /** Median prompt length of the service. */
  readonly usualPromptTokens: number;
  /** Time waited so far, divided by the longest wait with which its goal can be met. */
  readonly waitedShare: number;
}

/**
 * True if a generation may be sent to an engine with that memory.
 *
 * Prevents starvation of long prompts. On full engines, short ones take each piece of memory
 * that becomes free, so there is never enough for a long one. The longer it waits, the more
 * tokens it may therefore lack: up to a usual prompt, and at most those by which it exceeds a
 * usual prompt. It then waits in the engine's queue, where it counts as used memory, so that
 * nothing else is sent there until it has started.
 */
export function hasMemoryFor(
  {usedTokens, usableTokens}: EngineMemory,
  demand: MemoryDemand,
): boolean {
  const lackedTokens = usedTokens + demand.tokens - usableTokens;
  return lackedTokens <= allowanceTokens(demand);
}

/** Tokens that a generation may lack. */
function allowanceTokens({
  tokens,
  usualPromptTokens,
  waitedShare,
}: MemoryDemand): number {
  const excessTokens = Math.max(0, tokens - usualPromptTokens);
  const mostTokens = Math.min(excessTokens, usualPromptTokens);
  return mostTokens * Math.min(1, waitedShare / FULL_ALLOWANCE_WAITED_SHARE);
}
