import {setMaxListeners} from 'node:events';
import type {EntrySettings} from '@lilacledge/config';
import {authenticateSidecar, SidecarState} from '@lilacledge/protocol';
import type {
  ConfigOffer,
  ConfigRequest,
  ConfigTransfer,
  EntryMessage,
  Link,
  LoadReport,
  SidecarIdentity,
  SidecarMessage,
  SlotGrant,
} from '@lilacledge/protocol';
import type {Member} from '@lilacledge/store';
import {PrefixHints} from '@lilacledge/policy';
import {AsyncQueue, backoffMs, sleep} from '@lilacledge/shared';
import type {EntryPorts} from './entryPorts.js';

/** A message of the sidecar about one call, or the loss of the link. */
export type CallMessage =
  | Extract<
      SidecarMessage,
      {type: 'accepted' | 'tokens' | 'done' | 'failed' | 'result'}
    >
  | {readonly type: 'linkLost'};

/** One call in progress on a link. */
export interface OpenCall {
  readonly callId: number;
  readonly messages: AsyncQueue<CallMessage>;
  send(message: EntryMessage): void;
  /** Ends the local handling of the call; later messages for it are dropped. */
  close(): void;
}

/** Messages about the configuration, which the entry handles for all peers. */
export type ConfigMessage = ConfigOffer | ConfigRequest | ConfigTransfer;

/** What a peer needs from its entry. */
export interface PeerEvents {
  onConfig(peer: SidecarPeer, message: ConfigMessage): void;
  /** Called when the known sidecars, a link or a load report change. */
  onChange(): void;
  /** Revision of the configuration that this entry has. */
  knownRevision(): number;
  /** Number of links that this entry keeps. */
  linkCount(): number;
}

const RECONNECT_BACKOFF = {firstMs: 100, maxMs: 5_000};
const HANDSHAKE_TIMEOUT_MS = 3_000;
const MIN_HEARTBEAT_INTERVAL_MS = 2_000;

/**
 * The interval grows with the number of links, which bounds the rate of
 * heartbeats over all of them.
 */
const HEARTBEAT_INTERVAL_PER_LINK_MS = 8;

/** A link without any message for this many heartbeat intervals is closed. */
const SILENCE_HEARTBEATS = 2.5;

/** Load assumed for a sidecar until its first report arrives. */
const INITIAL_LOAD: LoadReport = {
  state: SidecarState.SERVING,
  queued: 0,
  running: 0,
  backlogTokens: 0,
  memoryShare: 0,
  predictedWaitMs: 0,
  tokenMs: 0,
  maxBatch: 1,
};

/**
 * A sidecar known to this entry, and the task that maintains the link to it.
 */
export class SidecarPeer {
  private link: Link | undefined;
  private readonly calls = new Map<number, AsyncQueue<CallMessage>>();
  private readonly stopped = new AbortController();
  private readonly linkOpenListeners = new Set<() => void>();
  private nextCallId = 1;
  private lastMessageAtMs = 0;
  private lastReportAtMs = 0;
  private pingSequence = 0;
  private report: LoadReport = INITIAL_LOAD;
  identity: SidecarIdentity | undefined;
  grants: readonly SlotGrant[] = [];
  /**
   * Prompt prefixes that this entry sent here recently, which may still be
   * cached.
   */
  readonly prefixHints: PrefixHints;
  /** Expected tokens of the requests sent since the last load report. */
  unreportedTokens = 0;
  /**
   * False once the instance is marked as leaving, or is no longer among the
   * sidecars that this entry links to.
   */
  isListed = true;

  constructor(
    readonly member: Member,
    private readonly ports: EntryPorts,
    private readonly settings: EntrySettings,
    private readonly events: PeerEvents,
  ) {
    this.prefixHints = new PrefixHints(ports.clock);
    // Every stream that waits for the link adds a listener, and Node would warn
    // about more than ten.
    setMaxListeners(0, this.stopped.signal);
    void this.run();
  }

  get isOpen(): boolean {
    return this.link?.isOpen === true;
  }

  /** True while this sidecar accepts new work. */
  get isServing(): boolean {
    return (
      this.isOpen && this.isListed && this.report.state === SidecarState.SERVING
    );
  }

  get load(): LoadReport {
    return this.report;
  }

  get outstanding(): number {
    return this.calls.size;
  }

  get reportAgeMs(): number {
    return this.ports.clock.nowMs() - this.lastReportAtMs;
  }

  get controlBytes(): number {
    return this.link?.traffic.sentControlBytes ?? 0;
  }

  /** Opens a call; undefined when the link is not open. */
  openCall(): OpenCall | undefined {
    const link = this.link;
    if (link?.isOpen !== true) return undefined;
    const callId = this.nextCallId++;
    const messages = new AsyncQueue<CallMessage>();
    this.calls.set(callId, messages);
    return {
      callId,
      messages,
      send: (message) => link.send(message),
      close: () => {
        if (this.calls.get(callId) === messages) this.calls.delete(callId);
      },
    };
  }

  send(message: EntryMessage): void {
    this.link?.send(message);
  }

  /**
   * Waits for the link to open, at most `timeoutMs`, and returns whether it is
   * open. Ends early if `signal` aborts or the peer is stopped.
   */
  async waitUntilOpen(
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<boolean> {
    if (this.isOpen) return true;
    const waitAbort = new AbortController();
    const endWait = (): void => waitAbort.abort();
    this.linkOpenListeners.add(endWait);
    signal?.addEventListener('abort', endWait, {once: true});
    this.stopped.signal.addEventListener('abort', endWait, {once: true});
    await sleep(this.ports.clock, timeoutMs, waitAbort.signal);
    this.linkOpenListeners.delete(endWait);
    signal?.removeEventListener('abort', endWait);
    this.stopped.signal.removeEventListener('abort', endWait);
    return this.isOpen;
  }

  stop(): void {
    this.stopped.abort();
    this.link?.close({kind: 'closed', detail: 'entry stopped'});
  }

  /**
   * Connects and reads until the link ends, then reconnects after a backoff,
   * until stopped.
   */
  private async run(): Promise<void> {
    const {clock, random, logger} = this.ports;
    const log = logger.part('link');
    let attempt = 0;
    while (!this.stopped.signal.aborted) {
      try {
        const link = await this.connect();
        attempt = 0;
        await this.read(link);
      } catch (error) {
        log.debug('Could not open the link.', {
          peer: this.member.instanceId,
          error: String(error),
        });
      }
      await sleep(
        clock,
        backoffMs(RECONNECT_BACKOFF, attempt++, random),
        this.stopped.signal,
      );
    }
  }

  private async connect(): Promise<Link> {
    const {host, port} = this.member;
    const link = await this.ports.dialer.dial({host, port});
    const cancel = this.ports.clock.after(HANDSHAKE_TIMEOUT_MS, () => {
      link.close({kind: 'closed', detail: 'greeting took too long'});
    });
    const handshake = await authenticateSidecar(
      link,
      {instanceId: this.settings.instanceId, zone: this.settings.zone},
      this.settings.linkKey,
    );
    cancel();
    if (!handshake.ok || this.stopped.signal.aborted) {
      const detail = handshake.ok ? 'stopped' : handshake.detail;
      link.close({kind: 'unauthenticated', detail});
      throw new Error(detail);
    }
    this.identity = handshake.peer;
    return link;
  }

  private async read(link: Link): Promise<void> {
    this.link = link;
    this.lastMessageAtMs = this.ports.clock.nowMs();
    this.ports.logger.part('link').info('Link opened.', {
      peer: this.member.instanceId,
      incarnation: this.identity?.incarnation,
    });
    for (const notifyOpen of this.linkOpenListeners) notifyOpen();
    this.events.onChange();
    const ended = new AbortController();
    const heartbeats = this.sendHeartbeats(link, ended.signal);
    link.send({type: 'configOffer', revision: this.events.knownRevision()});
    for await (const message of link.receive()) {
      this.lastMessageAtMs = this.ports.clock.nowMs();
      this.handleMessage(link, message as SidecarMessage);
    }
    ended.abort();
    this.handleLinkLoss(link);
    await heartbeats;
  }

  private handleLinkLoss(link: Link): void {
    if (this.link === link) this.link = undefined;
    this.grants = [];
    const calls = [...this.calls.values()];
    this.calls.clear();
    for (const messages of calls) messages.push({type: 'linkLost'});
    this.events.onChange();
  }

  private async sendHeartbeats(link: Link, ended: AbortSignal): Promise<void> {
    const {clock} = this.ports;
    while (link.isOpen) {
      const intervalMs = Math.max(
        MIN_HEARTBEAT_INTERVAL_MS,
        HEARTBEAT_INTERVAL_PER_LINK_MS * this.events.linkCount(),
      );
      const silentMs = clock.nowMs() - this.lastMessageAtMs;
      if (silentMs > SILENCE_HEARTBEATS * intervalMs) {
        link.close({kind: 'closed', detail: 'peer is silent'});
        return;
      }
      const sequence = ++this.pingSequence;
      const revision = this.events.knownRevision();
      link.send({type: 'ping', sequence, revision});
      await sleep(clock, intervalMs, ended);
    }
  }

  private handleMessage(link: Link, message: SidecarMessage): void {
    switch (message.type) {
      case 'accepted':
      case 'tokens':
      case 'done':
      case 'failed':
      case 'result':
        this.calls.get(message.callId)?.push(message);
        return;
      case 'report':
        this.report = message.load;
        this.lastReportAtMs = this.ports.clock.nowMs();
        this.unreportedTokens = 0;
        this.events.onChange();
        return;
      case 'slots':
        this.grants = message.grants;
        return;
      case 'pong':
        this.events.onConfig(this, {
          type: 'configOffer',
          revision: message.revision,
        });
        return;
      case 'configOffer':
      case 'configRequest':
      case 'configTransfer':
        this.events.onConfig(this, message);
        return;
      default:
        // Only an entry sends the other message types.
        link.close({kind: 'malformed', detail: `unexpected ${message.type}`});
    }
  }
}
