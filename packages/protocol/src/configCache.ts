import {
  contentHash,
  joinConfig,
  missingParts,
  REMEMBERED_WRITES,
} from '@lilacledge/config';
import type {ConfigHead, ConfigState} from '@lilacledge/config';
import type {Clock} from '@lilacledge/shared';
import type {ConfigOffer, ConfigRequest, ConfigTransfer} from './messages.js';

/** What a process does with a head or a transfer that it is shown. */
export type AdoptResult = 'adopted' | 'known' | 'older' | 'incomplete' | 'fork';

/** Heads kept to send changes in place of the whole. */
const KEPT_HEADS = 16;

/** Many peers offer a change at once; one is asked, then another. */
const REQUEST_LIMIT_MS = 1_000;

/**
 * The configuration in force at one process. Revisions only rise: a lower one
 * is never taken, whether it comes from the store or from a peer.
 */
export class ConfigCache {
  private state: ConfigState | undefined;
  private readonly heads = new Map<number, ConfigHead>();
  private readonly listeners = new Set<(state: ConfigState) => void>();
  private requestedMs: number | undefined;
  /** Revisions by which the store was last seen to be older. */
  storeBehindBy = 0;
  /** Other contents seen under the revision in force. */
  forks = 0;

  constructor(private readonly clock: Clock) {}

  get current(): ConfigState | undefined {
    return this.state;
  }

  get revision(): number {
    return this.state?.head.revision ?? 0;
  }

  onChange(listener: (state: ConfigState) => void): void {
    this.listeners.add(listener);
  }

  /** Takes a state read from the store. */
  adopt(state: ConfigState): AdoptResult {
    const known = this.compare(state.head);
    if (known !== undefined) return known;
    this.state = state;
    this.requestedMs = undefined;
    this.keepHead(state.head);
    for (const listener of this.listeners) listener(state);
    return 'adopted';
  }

  /** Takes a state sent by a peer. */
  adoptTransfer(transfer: ConfigTransfer): AdoptResult {
    this.requestedMs = undefined;
    const head = this.toHead(transfer);
    if (head === undefined) return 'older';
    const known = this.compare(head);
    if (known !== undefined) return known;
    const contents = new Map(this.state?.contents);
    for (const text of transfer.texts) contents.set(contentHash(text), text);
    if (missingParts(head, contents).length > 0) return 'incomplete';
    return this.adopt(joinConfig(head, contents, this.state));
  }

  /** Answers a peer's offer of `revision`. */
  answerOffer(revision: number): ConfigOffer | ConfigRequest | undefined {
    if (revision < this.revision) {
      return {type: 'configOffer', revision: this.revision};
    }
    if (revision === this.revision || this.isWaiting()) return undefined;
    this.requestedMs = this.clock.nowMs();
    return {type: 'configRequest', knownRevision: this.revision};
  }

  /** Answers a peer's request with what has changed since its revision. */
  answerRequest(knownRevision: number): ConfigTransfer | undefined {
    const state = this.state;
    if (state === undefined || knownRevision >= this.revision) return undefined;
    const base = this.heads.get(knownRevision);
    const {head} = state;
    const before = base?.parts ?? {};
    const parts = Object.fromEntries(
      Object.entries(head.parts).filter(
        ([name, hash]) => before[name] !== hash,
      ),
    );
    const baseRevision = base?.revision ?? 0;
    return {
      type: 'configTransfer',
      baseRevision,
      revision: head.revision,
      parts,
      removedParts: Object.keys(before).filter((name) => !(name in head.parts)),
      writes: head.writes.filter((write) => write.revision > baseRevision),
      texts: Object.values(parts).map((hash) => state.contents.get(hash)!),
    };
  }

  private isWaiting(): boolean {
    const since = this.requestedMs;
    return since !== undefined && this.clock.nowMs() - since < REQUEST_LIMIT_MS;
  }

  /** The head that a transfer leads to; undefined if its base is not ours. */
  private toHead(transfer: ConfigTransfer): ConfigHead | undefined {
    const {baseRevision, revision, writes} = transfer;
    if (baseRevision === 0) return {revision, parts: transfer.parts, writes};
    const base = this.state?.head;
    if (base?.revision !== baseRevision) return undefined;
    const parts = {...base.parts, ...transfer.parts};
    for (const name of transfer.removedParts) delete parts[name];
    const allWrites = [...writes, ...base.writes].slice(0, REMEMBERED_WRITES);
    return {revision, parts, writes: allWrites};
  }

  private keepHead(head: ConfigHead): void {
    this.heads.set(head.revision, head);
    for (const revision of this.heads.keys()) {
      if (this.heads.size <= KEPT_HEADS) return;
      this.heads.delete(revision);
    }
  }

  private compare(head: ConfigHead): AdoptResult | undefined {
    if (head.revision > this.revision) return undefined;
    if (head.revision < this.revision) return 'older';
    if (isSameWrite(head, this.state?.head)) return 'known';
    this.forks++;
    return 'fork';
  }
}

function isSameWrite(a: ConfigHead, b: ConfigHead | undefined): boolean {
  return b !== undefined && a.writes[0]?.id === b.writes[0]?.id;
}
