/** Who is told when an endpoint becomes a candidate. */
export class CandidateListeners {
  private readonly candidateListeners: Array<() => void> = [];
  private readonly seenListeners = new Set<(service: string) => void>();

  /**
   * Calls `listener` once when an endpoint of the service becomes a candidate. Returns a
   * function that removes the listener.
   */
  onceAvailable(service: string, listener: () => void): () => void {
    const onSeen = (seen: string): void => {
      if (seen !== service) return;
      this.seenListeners.delete(onSeen);
      listener();
    };
    this.seenListeners.add(onSeen);
    return () => this.seenListeners.delete(onSeen);
  }

  /** Calls `listener` whenever an endpoint becomes a candidate. */
  onCandidate(listener: () => void): void {
    this.candidateListeners.push(listener);
  }

  /** Tells that an endpoint of the service has become a candidate. */
  emit(service: string): void {
    for (const listener of this.seenListeners) listener(service);
    for (const listener of this.candidateListeners) listener();
  }
}
