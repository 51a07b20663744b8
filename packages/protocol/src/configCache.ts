import {
  contentHash,
  joinConfig,
  missingParts,
  MAX_REMEMBERED_WRITES,
} from '@lilacledge/config';
import type {ConfigHead, ConfigState} from '@lilacledge/config';
import type {Clock} from '@lilacledge/shared';
import type {ConfigOffer, ConfigRequest, ConfigTransfer} from './messages.js';

/**
 * Outcome of offering a configuration to this process. `incomplete`: a part is missing;
 * `fork`: other contents under the active revision.
 */
export type AdoptResult = 'adopted' | 'known' | 'older' | 'incomplete' | 'fork';

/** Recent heads kept so that peers can be sent a delta instead of the whole configuration. */
const MAX_KEPT_HEADS = 16;

/**
 * Many peers offer a change at once: one is asked, and after the first time another. The time
 * doubles with each, as a transfer may be slow because of the others on the same link.
 */
const REQUEST_WAIT = {firstMs: 1_000, maxMs: 8_000};

/**
 * The active configuration of one process. Its revision never decreases: a lower one
 * is rejected, whether it comes from the store or from a peer.
 */
export class ConfigCache {
  private state: ConfigState | undefined;
  private readonly recentHeads = new Map<number, ConfigHead>();
  private readonly listeners = new Set<(state: ConfigState) => void>();
  private requestedAtMs: number | undefined;
  /** Requests since the last transfer. */
  private pendingRequests = 0;
  /** By how many revisions the store was behind this process when last read. */
  storeBehindBy = 0;
  /** Number of configurations seen with the active revision but other contents. */
  forkCount = 0;

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

  /** Applies a state read from the store. */
  adopt(state: ConfigState): AdoptResult {
    const known = this.compareToCurrent(state.head);
    if (known !== undefined) return known;
    this.state = state;
    this.noteTransferred();
    this.rememberHead(state.head);
    for (const listener of this.listeners) listener(state);
    return 'adopted';
  }

  /** Applies a state sent by a peer. */
  adoptTransfer(transfer: ConfigTransfer): AdoptResult {
    this.noteTransferred();
    const head = this.headOfTransfer(transfer);
    if (head === undefined) return 'older';
    const known = this.compareToCurrent(head);
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
    if (revision === this.revision || this.isRequesting()) return undefined;
    this.requestedAtMs = this.clock.nowMs();
    this.pendingRequests++;
    return {type: 'configRequest', knownRevision: this.revision};
  }

  /** Answers a peer's request with the changes since its revision. */
  answerRequest(knownRevision: number): ConfigTransfer | undefined {
    const state = this.state;
    if (state === undefined || knownRevision >= this.revision) return undefined;
    const base = this.recentHeads.get(knownRevision);
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

  private isRequesting(): boolean {
    if (this.requestedAtMs === undefined) return false;
    const {firstMs, maxMs} = REQUEST_WAIT;
    const waitMs = Math.min(maxMs, firstMs * 2 ** (this.pendingRequests - 1));
    return this.clock.nowMs() - this.requestedAtMs < waitMs;
  }

  private noteTransferred(): void {
    this.requestedAtMs = undefined;
    this.pendingRequests = 0;
  }

  /** The head after applying a transfer; undefined if it builds on another revision than ours. */
  private headOfTransfer(transfer: ConfigTransfer): ConfigHead | undefined {
    const {baseRevision, revision, writes} = transfer;
    if (baseRevision === 0) return {revision, parts: transfer.parts, writes};
    const base = this.state?.head;
    if (base?.revision !== baseRevision) return undefined;
    const parts = {...base.parts, ...transfer.parts};
    for (const name of transfer.removedParts) delete parts[name];
    const allWrites = [...writes, ...base.writes].slice(
      0,
      MAX_REMEMBERED_WRITES,
    );
    return {revision, parts, writes: allWrites};
  }

  private rememberHead(head: ConfigHead): void {
    this.recentHeads.set(head.revision, head);
    for (const revision of this.recentHeads.keys()) {
      if (this.recentHeads.size <= MAX_KEPT_HEADS) return;
      this.recentHeads.delete(revision);
    }
  }

  private compareToCurrent(head: ConfigHead): AdoptResult | undefined {
    if (head.revision > this.revision) return undefined;
    if (head.revision < this.revision) return 'older';
    if (isSameWrite(head, this.state?.head)) return 'known';
    this.forkCount++;
    return 'fork';
  }
}

function isSameWrite(a: ConfigHead, b: ConfigHead | undefined): boolean {
  return b !== undefined && a.writes[0]?.id === b.writes[0]?.id;
}
