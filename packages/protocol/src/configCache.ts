import {contentHash, joinConfig, missingParts} from '@lilacledge/config';
import type {ConfigHead, ConfigState} from '@lilacledge/config';
import type {ConfigTransfer, Message} from './messages.js';

/** What a process does with a head or a transfer that it is shown. */
export type AdoptResult = 'adopted' | 'known' | 'older' | 'incomplete' | 'fork';

/**
 * The configuration in force at one process. Revisions only rise: a lower one
 * is never taken, whether it comes from the store or from a peer.
 */
export class ConfigCache {
  private state: ConfigState | undefined;
  private readonly listeners = new Set<(state: ConfigState) => void>();
  /** Highest difference seen between this revision and the store's. */
  storeBehindBy = 0;
  forks = 0;

  get current(): ConfigState | undefined {
    return this.state;
  }

  get revision(): number {
    return this.state?.head.revision ?? 0;
  }

  get contents(): ReadonlyMap<string, string> {
    return this.state?.contents ?? new Map<string, string>();
  }

  onChange(listener: (state: ConfigState) => void): void {
    this.listeners.add(listener);
  }

  /** Takes a state read from the store. */
  adopt(state: ConfigState): AdoptResult {
    const known = this.compare(state.head);
    if (known !== undefined) return known;
    this.state = state;
    for (const listener of this.listeners) listener(state);
    return 'adopted';
  }

  /** Takes a state sent by a peer. */
  adoptTransfer(transfer: ConfigTransfer): AdoptResult {
    const known = this.compare(transfer.head);
    if (known !== undefined) return known;
    const contents = new Map(this.contents);
    for (const text of transfer.parts) contents.set(contentHash(text), text);
    if (missingParts(transfer.head, contents).length > 0) return 'incomplete';
    return this.adopt(joinConfig(transfer.head, contents));
  }

  /** Answers a peer's offer of `revision`. */
  answerOffer(revision: number): Message | undefined {
    if (revision > this.revision) {
      return {type: 'configRequest', knownHashes: [...this.contents.keys()]};
    }
    if (revision < this.revision) {
      return {type: 'configOffer', revision: this.revision};
    }
    return undefined;
  }

  /** Answers a peer's request. */
  answerRequest(knownHashes: readonly string[]): Message | undefined {
    if (this.state === undefined) return undefined;
    const known = new Set(knownHashes);
    const parts = [...this.state.contents]
      .filter(([hash]) => !known.has(hash))
      .map(([, text]) => text);
    return {type: 'configTransfer', head: this.state.head, parts};
  }

  private compare(head: ConfigHead): AdoptResult | undefined {
    if (head.revision > this.revision) return undefined;
    if (head.revision < this.revision) return 'older';
    if (isSameContent(head, this.state?.head)) return 'known';
    this.forks++;
    return 'fork';
  }
}

function isSameContent(a: ConfigHead, b: ConfigHead | undefined): boolean {
  return b !== undefined && a.writes[0]?.id === b.writes[0]?.id;
}
