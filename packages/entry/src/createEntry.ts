import type {EntrySettings} from '@lilacledge/config';
import {ConfigCache} from '@lilacledge/protocol';
import {
  EndpointChooser,
  OrganisationLimiter,
  SharedRetryBudget,
} from '@lilacledge/policy';
import type {BudgetSharing, RetryAllowance} from '@lilacledge/policy';
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
 * Allows one retry per ten requests, plus ten, in any window of ten seconds, so
 * that retries add little to the load of a failing endpoint.
 */
const RETRY_ALLOWANCE: RetryAllowance = {
  retryRatio: 0.1,
  retryWindowMs: 10_000,
  retrySlack: 10,
};

/**
 * Each entry process has the whole allowance for itself, because callers spread
 * over only a few entries. Requests to all services share it.
 */
const UNSHARED_BUDGET: BudgetSharing = {
  hasSlack: true,
  entryCount: 1,
  noteEntryCount: () => {},
};

const DRAIN_CHECK_INTERVAL_MS = 50;
const METRICS_INTERVAL_MS = 1_000;

/** A running entry without its HTTP server. */
export interface Entry {
  readonly settings: EntrySettings;
  readonly ports: EntryPorts;
  readonly config: ConfigCache;
  readonly pool: PeerPool;
  readonly decisions: DecisionLog;
  /** Readiness for the platform's load balancer. */
  readonly isReady: boolean;
  readonly openRequests: number;
  /**
   * Counts a request of a caller, whose body may still arrive, until the returned function is
   * called: a shutdown waits for its answer.
   */
  holdOpen(): () => void;
  /** Lookups in the active configuration; undefined until one is received. */
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
  /**
   * Reads the head of the configuration from the store without waiting for the
   * watch.
   */
  refreshConfig(): Promise<void>;
  /**
   * Fails readiness, gives the load balancer time to notice, waits for open
   * requests up to the drain timeout, and stops.
   */
  shutdown(): Promise<void>;
  stop(): void;
}

/** Creates an entry and starts its background tasks. */
export function createEntry(ports: EntryPorts, settings: EntrySettings): Entry {
  const {clock} = ports;
  const log = ports.logger.part('entry');
  const metrics = createEntryMetrics(ports.metrics);
  const stopped = new AbortController();
  const config = new ConfigCache(clock);
  const organisationLimiter = new OrganisationLimiter(clock);
  const decisions = new DecisionLog(clock);
  let directory: OrganisationDirectory | undefined;
  let isShuttingDown = false;
  let openRequests = 0;
  /** Requests of callers whose answers are not written yet. */
  let unanswered = 0;

  const pool: PeerPool = new PeerPool(ports, settings, {
    onConfig: handleConfigMessage,
    onChange: () => organisationLimiter.setEntryCount(pool.entryIds.length),
    knownRevision: () => config.revision,
    linkCount: () => pool.all().length,
  });
  const context: EntryContext = {
    ports,
    settings,
    metrics,
    pool,
    chooser: new EndpointChooser(ports.random),
    organisationLimiter,
    retryBudget: new SharedRetryBudget(
      RETRY_ALLOWANCE,
      UNSHARED_BUDGET,
      ports.clock,
    ),
    decisions,
  };

  config.onChange((state) => {
    directory = new OrganisationDirectory(state.config);
    metrics.revision.set(state.head.revision);
    log.info('Configuration activated.', {revision: state.head.revision});
    const {revision} = state.head;
    for (const peer of pool.all()) peer.send({type: 'configOffer', revision});
  });

  void pollMembership();
  void publishLinkMetrics();
  void runConfigTask(
    ports,
    settings,
    config,
    metrics,
    () => pool.entryIds,
    stopped.signal,
  );

  function handleConfigMessage(
    peer: SidecarPeer,
    message: ConfigMessage,
  ): void {
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
        log.warn('Configuration from a peer was not adopted.', {result});
        return;
      }
      default:
        assertNever(message);
    }
  }

  async function pollMembership(): Promise<void> {
    while (!stopped.signal.aborted) {
      try {
        pool.update(await ports.membership.read());
      } catch (error) {
        log.warn('Could not read the membership list.', {error: String(error)});
      }
      const {membershipPollMs} = settings.platform;
      await sleep(clock, membershipPollMs, stopped.signal);
    }
  }

  async function publishLinkMetrics(): Promise<void> {
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
    const admission = organisationLimiter.take(
      organisation.id,
      organisation.limits,
    );
    if (admission.outcome === 'refused') {
      const detail = `the organisation's limit is reached: ${admission.reason}`;
      const failure = notRun(
        FailureKind.LIMIT_REACHED,
        detail,
        admission.retryAfterMs,
      );
      decisions.note(request.requestId, 'refused', detail);
      yield {type: 'failed', failure};
      return;
    }
    let tokens = 0;
    try {
      for await (const event of observeStream(
        request.requestId,
        relayGeneration(context, request, signal),
      )) {
        if (event.type === 'tokens') tokens += event.texts.length;
        yield event;
      }
    } finally {
      organisationLimiter.release(organisation.id, tokens);
    }
  }

  async function* resume(
    request: ResumeRequest,
    signal: AbortSignal,
  ): AsyncGenerator<StreamEvent> {
    metrics.requests.inc({kind: 'resume'});
    yield* observeStream(
      request.requestId,
      relayResume(context, request, signal),
    );
  }

  /** Passes a stream through and records its metrics and its outcome. */
  async function* observeStream(
    requestId: string,
    events: AsyncIterable<StreamEvent>,
  ): AsyncGenerator<StreamEvent> {
    const startedAtMs = clock.nowMs();
    let isFirstToken = true;
    openRequests++;
    try {
      for await (const event of events) {
        if (event.type === 'tokens' && isFirstToken) {
          isFirstToken = false;
          metrics.firstToken.observe((clock.nowMs() - startedAtMs) / 1000);
        }
        recordStreamEnd(requestId, event);
        yield event;
      }
    } finally {
      openRequests--;
    }
  }

  function recordStreamEnd(requestId: string, event: StreamEvent): void {
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
      recordCallEnd(request.requestId, answer);
      return answer;
    } finally {
      openRequests--;
    }
  }

  function recordCallEnd(requestId: string, answer: PlainAnswer): void {
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

  function holdOpen(): () => void {
    unanswered++;
    return () => {
      unanswered--;
    };
  }

  async function shutdown(): Promise<void> {
    isShuttingDown = true;
    log.info('Leaving.');
    await sleep(clock, settings.balancerDelayMs);
    const deadlineAtMs = clock.nowMs() + settings.drainTimeoutMs;
    const isIdle = (): boolean => openRequests === 0 && unanswered === 0;
    while (!isIdle() && clock.nowMs() < deadlineAtMs) {
      await sleep(clock, DRAIN_CHECK_INTERVAL_MS);
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
      return !isShuttingDown && config.revision > 0;
    },
    get openRequests() {
      return openRequests;
    },
    get directory() {
      return directory;
    },
    holdOpen,
    generate,
    resume,
    call,
    refreshConfig,
    shutdown,
    stop,
  };
}
