import type {EntrySettings} from '@lilacledge/config';
import {ConfigCache} from '@lilacledge/protocol';
import {
  EndpointChooser,
  OrganisationLimiter,
  RetryBudgets,
} from '@lilacledge/policy';
import type {RetryAllowance} from '@lilacledge/policy';
import {assertNever, FailureKind, notRun, sleep} from '@lilacledge/shared';
import type {
  PlainAnswer,
  PlainCallRequest,
  GenerationRequest,
  ResumeRequest,
  StreamEvent,
} from './callerRequest.js';
import {adoptHead, runConfigTask} from './configTask.js';
import {DecisionLog} from './decisionLog.js';
import type {EntryContext} from './entryContext.js';
import {createEntryMetrics} from './entryMetrics.js';
import type {EntryPorts} from './entryPorts.js';
import {OrganisationDirectory} from './organisationDirectory.js';
import {PeerPool} from './peerPool.js';
import {relayCall} from './relayCall.js';
import {relayGeneration, relayResume} from './relayGeneration.js';
import type {ConfigMessage, SidecarPeer} from './sidecarPeer.js';

/**
 * Sends beyond the first: one in ten requests and ten that are free, in any ten
 * seconds, so that a failing endpoint gets little more than the offered load.
 */
const RETRY_ALLOWANCE: RetryAllowance = {
  retryRatio: 0.1,
  retryWindowMs: 10_000,
  retrySlack: 10,
};

/** Calls of all services count together. */
const ALL_SERVICES = 'all';

/** Each life of an entry has the whole allowance: callers spread over a few entries. */
const ENTRIES_THAT_SHARE = 1;

const DRAIN_CHECK_MS = 50;
const METRICS_INTERVAL_MS = 1_000;

/** A running entry, apart from the sockets that it is reached by. */
export interface Entry {
  readonly settings: EntrySettings;
  readonly ports: EntryPorts;
  readonly config: ConfigCache;
  readonly pool: PeerPool;
  readonly decisions: DecisionLog;
  /** True while the platform's balancer should send callers here. */
  readonly isReady: boolean;
  readonly openRequests: number;
  /** Look-ups in the configuration in force; undefined while none is known. */
  readonly directory: OrganisationDirectory | undefined;
  generate(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<StreamEvent>;
  resume(
    request: ResumeRequest,
    signal: AbortSignal,
  ): AsyncIterable<StreamEvent>;
  call(request: PlainCallRequest): Promise<PlainAnswer>;
  /** Reads the store's head now, as after an operator's change. */
  refreshConfig(): Promise<void>;
  /** Fails readiness, waits for the balancer and for open requests. */
  shutdown(): Promise<void>;
  stop(): void;
}

/** Creates an entry and starts its tasks. */
export function createEntry(ports: EntryPorts, settings: EntrySettings): Entry {
  const {clock} = ports;
  const log = ports.logger.part('entry');
  const metrics = createEntryMetrics(ports.metrics);
  const stopped = new AbortController();
  const config = new ConfigCache(clock);
  const limiter = new OrganisationLimiter(clock);
  const decisions = new DecisionLog(clock);
  let directory: OrganisationDirectory | undefined;
  let isLeaving = false;
  let openRequests = 0;

  const pool: PeerPool = new PeerPool(ports, settings, {
    onConfig: handleConfig,
    onChange: () => limiter.setEntryCount(pool.entryIds.length),
    knownRevision: () => config.revision,
    linkCount: () => pool.all().length,
  });
  const context: EntryContext = {
    ports,
    settings,
    metrics,
    pool,
    chooser: new EndpointChooser(ports.random),
    limiter,
    retries: new RetryBudgets(
      {life: settings.instanceId, isFirst: true},
      RETRY_ALLOWANCE,
      {entries: () => ENTRIES_THAT_SHARE, isCurrent: () => true},
      ports.clock,
    ).of(ALL_SERVICES),
    decisions,
  };

  config.onChange((state) => {
    directory = new OrganisationDirectory(state.config);
    metrics.revision.set(state.head.revision);
    log.info('Configuration in force.', {revision: state.head.revision});
    const {revision} = state.head;
    for (const peer of pool.all()) peer.send({type: 'configOffer', revision});
  });

  void membershipTask();
  void metricsTask();
  void runConfigTask(
    ports,
    settings,
    config,
    metrics,
    () => pool.entryIds,
    stopped.signal,
  );

  function handleConfig(peer: SidecarPeer, message: ConfigMessage): void {
    switch (message.type) {
      case 'configOffer': {
        const answer = config.answerOffer(message.revision);
        if (answer !== undefined) peer.send(answer);
        return;
      }
      case 'configRequest': {
        const answer = config.answerRequest(message.knownRevision);
        if (answer !== undefined) peer.send(answer);
        return;
      }
      case 'configTransfer': {
        const result = config.adoptTransfer(message);
        if (result === 'adopted' || result === 'known') return;
        log.warn('Configuration not taken.', {result});
        return;
      }
      default:
        assertNever(message);
    }
  }

  async function membershipTask(): Promise<void> {
    while (!stopped.signal.aborted) {
      try {
        pool.update(await ports.membership.read());
      } catch (error) {
        log.warn('Membership list not read.', {error: String(error)});
      }
      const {membershipPollMs} = settings.platform;
      await sleep(clock, membershipPollMs, stopped.signal);
    }
  }

  async function metricsTask(): Promise<void> {
    while (!stopped.signal.aborted) {
      const peers = pool.all();
      const open = peers.filter((peer) => peer.isOpen);
      metrics.links.set({state: 'open'}, open.length);
      metrics.links.set({state: 'closed'}, peers.length - open.length);
      const bytes = open.reduce((sum, peer) => sum + peer.controlBytes, 0);
      metrics.controlBytes.set(bytes);
      await sleep(clock, METRICS_INTERVAL_MS, stopped.signal);
    }
  }

  async function* generate(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncGenerator<StreamEvent> {
    const {organisation} = request;
    metrics.requests.inc({kind: 'generation'});
    const grant = limiter.take(organisation.id, organisation.limits);
    if (grant.outcome === 'refused') {
      const detail = `the organisation's limit is reached: ${grant.reason}`;
      const failure = notRun(
        FailureKind.LIMIT_REACHED,
        detail,
        grant.retryAfterMs,
      );
      decisions.note(request.requestId, 'refused', detail);
      yield {type: 'failed', failure};
      return;
    }
    let tokens = 0;
    try {
      for await (const event of observed(
        request.requestId,
        relayGeneration(context, request, signal),
      )) {
        if (event.type === 'tokens') tokens += event.texts.length;
        yield event;
      }
    } finally {
      limiter.release(organisation.id, tokens);
    }
  }

  async function* resume(
    request: ResumeRequest,
    signal: AbortSignal,
  ): AsyncGenerator<StreamEvent> {
    metrics.requests.inc({kind: 'resume'});
    yield* observed(request.requestId, relayResume(context, request, signal));
  }

  /** Counts a stream while it is open, its first token and its end. */
  async function* observed(
    requestId: string,
    events: AsyncIterable<StreamEvent>,
  ): AsyncGenerator<StreamEvent> {
    const startedMs = clock.nowMs();
    let isFirst = true;
    openRequests++;
    try {
      for await (const event of events) {
        if (event.type === 'tokens' && isFirst) {
          isFirst = false;
          metrics.firstToken.observe((clock.nowMs() - startedMs) / 1000);
        }
        noteEnd(requestId, event);
        yield event;
      }
    } finally {
      openRequests--;
    }
  }

  function noteEnd(requestId: string, event: StreamEvent): void {
    switch (event.type) {
      case 'tokens':
        return;
      case 'done':
        metrics.outcomes.inc({outcome: 'answered', verdict: 'ran'});
        decisions.note(requestId, 'answered', event.finishReason);
        return;
      case 'failed': {
        const {kind, verdict, detail} = event.failure;
        metrics.outcomes.inc({outcome: kind, verdict});
        decisions.note(requestId, `ended: ${kind}, ${verdict}`, detail);
        return;
      }
      default:
        assertNever(event);
    }
  }

  async function call(request: PlainCallRequest): Promise<PlainAnswer> {
    metrics.requests.inc({kind: 'call'});
    openRequests++;
    try {
      const answer = await relayCall(context, request);
      noteCallEnd(request.requestId, answer);
      return answer;
    } finally {
      openRequests--;
    }
  }

  function noteCallEnd(requestId: string, answer: PlainAnswer): void {
    if (answer.kind === 'answered') {
      metrics.outcomes.inc({outcome: 'answered', verdict: 'ran'});
      decisions.note(requestId, 'answered', `status ${answer.status}`);
      return;
    }
    const {kind, verdict, detail} = answer.failure;
    metrics.outcomes.inc({outcome: kind, verdict});
    decisions.note(requestId, `ended: ${kind}, ${verdict}`, detail);
  }

  async function refreshConfig(): Promise<void> {
    const head = await ports.configStore.readHead();
    if (head !== undefined) await adoptHead(ports, config, metrics, head);
  }

  async function shutdown(): Promise<void> {
    isLeaving = true;
    log.info('Leaving.');
    await sleep(clock, settings.balancerDelayMs);
    const deadlineMs = clock.nowMs() + settings.drainTimeoutMs;
    while (openRequests > 0 && clock.nowMs() < deadlineMs) {
      await sleep(clock, DRAIN_CHECK_MS);
    }
    stop();
  }

  function stop(): void {
    stopped.abort();
    pool.stop();
  }

  return {
    settings,
    ports,
    config,
    pool,
    decisions,
    get isReady() {
      return !isLeaving && config.revision > 0;
    },
    get openRequests() {
      return openRequests;
    },
    get directory() {
      return directory;
    },
    generate,
    resume,
    call,
    refreshConfig,
    shutdown,
    stop,
  };
}
