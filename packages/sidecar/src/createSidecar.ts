import {randomBytes} from 'node:crypto';
import type {SidecarSettings} from '@lilacledge/config';
import {ConfigCache, greetEntry, SidecarState} from '@lilacledge/protocol';
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

/** Shortest time between two load reports on a link. */
const REPORT_INTERVAL_MS = 500;

/** With many links reports are rarer, so that all links together are bounded. */
const REPORT_PER_LINK_MS = 20;
const CAPACITY_POLL_MS = 2_000;
const DRAIN_CHECK_MS = 50;

/** A running sidecar, apart from the sockets that it is reached by. */
export interface Sidecar {
  readonly incarnation: string;
  readonly isReady: boolean;
  readonly state: SidecarState;
  readonly config: ConfigCache;
  /**
   * Starts the tasks. The process must listen on its address before this, for
   * that proves that its predecessor there is dead.
   */
  start(): void;
  /** Serves one link until it ends. */
  serve(link: Link): Promise<void>;
  load(): LoadReport;
  /** The slots of keys that this sidecar owns now. */
  grants(): readonly SlotGrant[];
  /** Takes no new work from now on. */
  startDrain(reason: string): void;
  /** Drains, waits for what runs, and stops all tasks. */
  shutdown(): Promise<void>;
  /** Stops all tasks at once, as a kill would. */
  stop(): void;
}

/** Creates a sidecar; its tasks wait for `start`. */
export function createSidecar(
  ports: SidecarPorts,
  settings: SidecarSettings,
): Sidecar {
  const {clock, endpoint} = ports;
  const logger = ports.logger.part('sidecar');
  const metrics = createSidecarMetrics(ports.metrics);
  const incarnation = randomBytes(6).toString('base64url');
  const stopped = new AbortController();
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
    roundMs: settings.slotRoundMs,
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
    generations?.useConfig(known.config);
    broadcast({type: 'configOffer', revision: known.head.revision});
  });

  function start(): void {
    void reportTask();
    if (calls !== undefined) void slotTask();
    if (endpoint.kind === 'engine') void capacityTask();
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
    const greeting = await greetEntry(link, identity, settings.linkKey);
    if (!greeting.ok) {
      refuseLink(link, greeting.detail);
      return;
    }
    links.add(link);
    metrics.links.set(links.size);
    link.send({type: 'report', load: load()});
    if (calls !== undefined) {
      link.send({type: 'slots', grants: slots.grants()});
    }
    link.send({type: 'configOffer', revision: config.revision});
    for await (const message of link.receive()) handle(link, message);
    links.delete(link);
    metrics.links.set(links.size);
    generations?.detachAll(link);
    const end = await link.ended;
    if (end.kind !== 'closed') metrics.brokenLinks.inc({reason: end.kind});
    logger.info('Link ended.', {
      peer: greeting.peer.instanceId,
      reason: end.kind,
      detail: end.detail,
    });
  }

  function refuseLink(link: Link, detail: string): void {
    metrics.brokenLinks.inc({reason: 'unauthenticated'});
    logger.warn('Link refused.', {detail});
    link.close({kind: 'unauthenticated', detail});
  }

  function handle(link: Link, message: Message): void {
    switch (message.type) {
      case 'submit':
        if (generations === undefined) return wrongKind(link, message.type);
        generations.submit(link, message, state);
        return;
      case 'resume':
        if (generations === undefined) return wrongKind(link, message.type);
        generations.resume(link, message);
        return;
      case 'call':
        if (calls === undefined) return wrongKind(link, message.type);
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
        answer(link, config.answerOffer(message.revision));
        return;
      case 'configRequest':
        answer(link, config.answerRequest(message.knownRevision));
        return;
      case 'configTransfer':
        adopt(message);
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
        return wrongKind(link, message.type);
      default:
        assertNever(message);
    }
  }

  function wrongKind(link: Link, type: string): void {
    logger.warn('Message does not fit this link.', {type});
    link.close({kind: 'malformed', detail: `unexpected ${type}`});
  }

  function answer(link: Link, message: Message | undefined): void {
    if (message !== undefined) link.send(message);
  }

  function adopt(transfer: ConfigTransfer): void {
    const result = config.adoptTransfer(transfer);
    if (result === 'adopted' || result === 'known') return;
    logger.warn('Configuration not taken.', {
      result,
      revision: transfer.revision,
    });
  }

  function startDrain(reason: string): void {
    if (state === SidecarState.DRAINING) return;
    state = SidecarState.DRAINING;
    logger.info('Draining.', {reason});
    broadcast({type: 'report', load: load()});
    void slots.release().catch((error: unknown) => {
      logger.warn('Slots not released.', {error: String(error)});
    });
  }

  async function shutdown(): Promise<void> {
    startDrain('shutdown');
    const deadlineMs = clock.nowMs() + settings.drainTimeoutMs;
    while (openCount() > 0 && clock.nowMs() < deadlineMs) {
      await sleep(clock, DRAIN_CHECK_MS);
    }
    generations?.endAll('the endpoint had to stop');
    await sleep(clock, DRAIN_CHECK_MS);
    stop();
  }

  function openCount(): number {
    return (generations?.openCount ?? 0) + (calls?.openCount ?? 0);
  }

  function stop(): void {
    stopped.abort();
    for (const link of links) link.close({kind: 'closed', detail: 'stopped'});
  }

  /** Sends the load to all links when it has changed, at a bounded rate. */
  async function reportTask(): Promise<void> {
    let last = '';
    while (!stopped.signal.aborted) {
      const report = load();
      const text = JSON.stringify(roughen(report));
      if (text !== last) broadcast({type: 'report', load: report});
      last = text;
      metrics.running.set(report.running);
      metrics.queued.set(report.queued);
      metrics.controlBytes.set(controlBytes());
      const intervalMs = Math.max(
        REPORT_INTERVAL_MS,
        REPORT_PER_LINK_MS * links.size,
      );
      await sleep(clock, intervalMs, stopped.signal);
    }
  }

  function controlBytes(): number {
    let sum = 0;
    for (const link of links) sum += link.traffic.sentControlBytes;
    return sum;
  }

  async function slotTask(): Promise<void> {
    while (!stopped.signal.aborted && state === SidecarState.SERVING) {
      try {
        await slots.round();
      } catch (error) {
        logger.warn('Slots not renewed.', {error: String(error)});
      }
      await sleep(clock, settings.slotRoundMs, stopped.signal);
    }
  }

  async function capacityTask(): Promise<void> {
    if (endpoint.kind !== 'engine') return;
    while (!stopped.signal.aborted) {
      try {
        const engineLoad = await endpoint.engine.readLoad();
        generations!.scheduler.setCapacity(engineLoad);
      } catch (error) {
        logger.debug('Engine load not read.', {error: String(error)});
      }
      await sleep(clock, CAPACITY_POLL_MS, stopped.signal);
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

/** Leaves out changes that are too small to be worth a message. */
function roughen(load: LoadReport): unknown {
  return {
    ...load,
    backlogTokens: Math.round(Math.log2(1 + load.backlogTokens) * 4),
    memoryShare: Math.round(load.memoryShare * 20),
    predictedWaitMs: Math.round(Math.log2(1 + load.predictedWaitMs) * 2),
    tokenMs: Math.round(Math.log2(1 + load.tokenMs) * 4),
  };
}
