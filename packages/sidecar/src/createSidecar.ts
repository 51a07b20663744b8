import {randomBytes} from 'node:crypto';
import type {SidecarSettings} from '@lilacledge/config';
import {
  ConfigCache,
  authenticateEntry,
  SidecarState,
} from '@lilacledge/protocol';
import type {
  ConfigTransfer,
  Link,
  LoadReport,
  Message,
  SlotGrant,
} from '@lilacledge/protocol';
import {assertNever, sleep} from '@lilacledge/shared';
import {CallService} from './callService.js';
import {GenerationService} from './generationService.js';
import {createSidecarMetrics} from './sidecarMetrics.js';
import type {SidecarPorts} from './sidecarPorts.js';
import {SlotOwner} from './slotOwner.js';

/** Minimum time between two load reports on a link. */
const MIN_REPORT_INTERVAL_MS = 500;

/** Added to the interval for each link, to bound the total report rate. */
const REPORT_INTERVAL_PER_LINK_MS = 20;
const CAPACITY_POLL_INTERVAL_MS = 2_000;
const DRAIN_POLL_INTERVAL_MS = 50;

/** A link is closed if its entry has not greeted by then. */
const HANDSHAKE_TIMEOUT_MS = 3_000;

/** A running sidecar, without its network sockets. */
export interface Sidecar {
  readonly incarnation: string;
  readonly isReady: boolean;
  readonly state: SidecarState;
  readonly config: ConfigCache;
  /**
   * Starts the background loops. The process must already listen on its
   * address: that proves that its predecessor at this address is dead.
   */
  start(): void;
  /** Handles the messages of one link until the link ends. */
  serve(link: Link): Promise<void>;
  load(): LoadReport;
  /** The key slots that this sidecar currently owns. */
  grants(): readonly SlotGrant[];
  /** Stops accepting new work. */
  startDrain(reason: string): void;
  /** Drains, waits for running work up to a time limit, and stops all loops. */
  shutdown(): Promise<void>;
  /** Stops all loops and closes all links at once, without draining. */
  stop(): void;
}

/** Creates a sidecar; its background loops begin with `start`. */
export function createSidecar(
  ports: SidecarPorts,
  settings: SidecarSettings,
): Sidecar {
  const {clock, endpoint} = ports;
  const logger = ports.logger.part('sidecar');
  const metrics = createSidecarMetrics(ports.metrics);
  const incarnation = randomBytes(6).toString('base64url');
  const stopController = new AbortController();
  const config = new ConfigCache(clock);
  const links = new Set<Link>();
  let state: SidecarState = SidecarState.SERVING;

  const slots = new SlotOwner(ports.store, clock, logger, {
    service: settings.service,
    incarnation,
    instanceId: settings.instanceId,
    address: `${settings.host}:${settings.port}`,
    grantMs: settings.slotGrantMs,
    keySkewMs: settings.keySkewMs,
    roundIntervalMs: settings.slotRoundMs,
  });
  const generations =
    endpoint.kind === 'engine'
      ? new GenerationService(
          ports,
          endpoint.engine,
          settings,
          incarnation,
          metrics,
        )
      : undefined;
  const calls =
    endpoint.kind === 'plain'
      ? new CallService(ports, endpoint.plain, slots, settings, metrics)
      : undefined;

  slots.onChange = () => broadcast({type: 'slots', grants: slots.grants()});
  config.onChange((known) => {
    metrics.revision.set(known.head.revision);
    generations?.applyConfig(known.config);
    broadcast({type: 'configOffer', revision: known.head.revision});
  });

  function start(): void {
    void runReportLoop();
    if (calls !== undefined) void runSlotLoop();
    if (endpoint.kind === 'engine') void runCapacityLoop();
  }

  function broadcast(message: Message): void {
    for (const link of links) link.send(message);
  }

  function load(): LoadReport {
    return generations?.report(state) ?? calls!.report(state);
  }

  async function serve(link: Link): Promise<void> {
    const identity = {
      instanceId: settings.instanceId,
      incarnation,
      service: settings.service,
      zone: settings.zone,
    };
    const cancelTimer = clock.after(HANDSHAKE_TIMEOUT_MS, () => {
      link.close({kind: 'closed', detail: 'greeting took too long'});
    });
    const handshake = await authenticateEntry(link, identity, settings.linkKey);
    cancelTimer();
    if (!handshake.ok) {
      refuseLink(link, handshake.detail);
      return;
    }
    links.add(link);
    metrics.links.set(links.size);
    link.send({type: 'report', load: load()});
    if (calls !== undefined) {
      link.send({type: 'slots', grants: slots.grants()});
    }
    link.send({type: 'configOffer', revision: config.revision});
    for await (const message of link.receive()) handleMessage(link, message);
    links.delete(link);
    metrics.links.set(links.size);
    generations?.detachAll(link);
    const end = await link.ended;
    if (end.kind !== 'closed') metrics.failedLinks.inc({reason: end.kind});
    logger.info('Link ended.', {
      peer: handshake.peer.instanceId,
      reason: end.kind,
      detail: end.detail,
    });
  }

  function refuseLink(link: Link, detail: string): void {
    metrics.failedLinks.inc({reason: 'unauthenticated'});
    logger.warn('Link refused.', {detail});
    link.close({kind: 'unauthenticated', detail});
  }

  function handleMessage(link: Link, message: Message): void {
    switch (message.type) {
      case 'submit':
        if (generations === undefined) return rejectMessage(link, message.type);
        generations.submit(link, message, state);
        return;
      case 'resume':
        if (generations === undefined) return rejectMessage(link, message.type);
        generations.resume(link, message);
        return;
      case 'call':
        if (calls === undefined) return rejectMessage(link, message.type);
        void calls.call(link, message, state);
        return;
      case 'credit':
        generations?.addCredit(link, message.callId, message.count);
        return;
      case 'cancel':
        generations?.cancel(link, message.callId, message.abandon);
        return;
      case 'ping': {
        const {sequence} = message;
        link.send({type: 'pong', sequence, revision: config.revision});
        return;
      }
      case 'drain':
        startDrain(message.reason);
        return;
      case 'configOffer':
        sendIfDefined(link, config.answerOffer(message.revision));
        return;
      case 'configRequest':
        sendIfDefined(link, config.answerRequest(message.knownRevision));
        return;
      case 'configTransfer':
        adoptConfig(message);
        return;
      case 'challenge':
      case 'hello':
      case 'welcome':
      case 'accepted':
      case 'tokens':
      case 'done':
      case 'failed':
      case 'result':
      case 'report':
      case 'slots':
      case 'pong':
        return rejectMessage(link, message.type);
      default:
        assertNever(message);
    }
  }

  function rejectMessage(link: Link, type: string): void {
    logger.warn('Unexpected message type on link.', {type});
    link.close({kind: 'malformed', detail: `unexpected ${type}`});
  }

  function sendIfDefined(link: Link, message: Message | undefined): void {
    if (message !== undefined) link.send(message);
  }

  function adoptConfig(transfer: ConfigTransfer): void {
    const result = config.adoptTransfer(transfer);
    if (result === 'adopted' || result === 'known') return;
    logger.warn('Configuration transfer rejected.', {
      result,
      revision: transfer.revision,
    });
  }

  function startDrain(reason: string): void {
    if (state === SidecarState.DRAINING) return;
    state = SidecarState.DRAINING;
    logger.info('Draining.', {reason});
    broadcast({type: 'report', load: load()});
    void slots.releaseAll().catch((error: unknown) => {
      logger.warn('Failed to release key slots.', {error: String(error)});
    });
  }

  async function shutdown(): Promise<void> {
    startDrain('shutdown');
    const deadlineMs = clock.nowMs() + settings.drainTimeoutMs;
    while (totalOpenCount() > 0 && clock.nowMs() < deadlineMs) {
      await sleep(clock, DRAIN_POLL_INTERVAL_MS);
    }
    generations?.cancelAll('the endpoint had to stop');
    await sleep(clock, DRAIN_POLL_INTERVAL_MS);
    stop();
  }

  function totalOpenCount(): number {
    return (generations?.openCount ?? 0) + (calls?.openCount ?? 0);
  }

  function stop(): void {
    stopController.abort();
    for (const link of links) link.close({kind: 'closed', detail: 'stopped'});
  }

  /** Reports the load to all links when it has changed, at a bounded rate. */
  async function runReportLoop(): Promise<void> {
    let lastRounded = '';
    while (!stopController.signal.aborted) {
      const report = load();
      const rounded = JSON.stringify(roundForComparison(report));
      if (rounded !== lastRounded) broadcast({type: 'report', load: report});
      lastRounded = rounded;
      metrics.running.set(report.running);
      metrics.queued.set(report.queued);
      metrics.controlBytes.set(totalControlBytes());
      const intervalMs = Math.max(
        MIN_REPORT_INTERVAL_MS,
        REPORT_INTERVAL_PER_LINK_MS * links.size,
      );
      await sleep(clock, intervalMs, stopController.signal);
    }
  }

  function totalControlBytes(): number {
    let sum = 0;
    for (const link of links) sum += link.traffic.sentControlBytes;
    return sum;
  }

  async function runSlotLoop(): Promise<void> {
    while (!stopController.signal.aborted && state === SidecarState.SERVING) {
      try {
        await slots.runRound();
      } catch (error) {
        logger.warn('Failed to update key slots.', {error: String(error)});
      }
      await sleep(clock, settings.slotRoundMs, stopController.signal);
    }
  }

  async function runCapacityLoop(): Promise<void> {
    if (endpoint.kind !== 'engine') return;
    while (!stopController.signal.aborted) {
      try {
        const engineLoad = await endpoint.engine.readLoad();
        generations!.scheduler.setCapacity(engineLoad);
      } catch (error) {
        logger.debug('Failed to read engine load.', {error: String(error)});
      }
      await sleep(clock, CAPACITY_POLL_INTERVAL_MS, stopController.signal);
    }
  }

  return {
    incarnation,
    start,
    get isReady() {
      return config.revision > 0 && state === SidecarState.SERVING;
    },
    get state() {
      return state;
    },
    config,
    serve,
    load,
    grants: () => slots.grants(),
    startDrain,
    shutdown,
    stop,
  };
}

/** Rounds the load so that changes too small to report compare as equal. */
function roundForComparison(load: LoadReport): unknown {
  return {
    ...load,
    backlogTokens: Math.round(Math.log2(1 + load.backlogTokens) * 4),
    memoryShare: Math.round(load.memoryShare * 20),
    predictedWaitMs: Math.round(Math.log2(1 + load.predictedWaitMs) * 2),
    tokenMs: Math.round(Math.log2(1 + load.tokenMs) * 4),
  };
}
