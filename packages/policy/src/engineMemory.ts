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

/** True if a generation may be sent to an engine with that memory. */
export function hasMemoryFor(
  {usedTokens, usableTokens}: EngineMemory,
  {tokens}: MemoryDemand,
): boolean {
  return usedTokens + tokens <= usableTokens;
}
