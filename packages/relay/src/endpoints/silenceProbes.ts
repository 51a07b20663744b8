import type {Clock} from '@lilacledge/shared';
import type {Logger} from '../log/boundedLog.js';
import type {EndpointAddress} from '../model/index.js';
import type {AnnouncedState} from './announcedState.js';
import type {Endpoint} from './endpoint.js';

/** How often it is checked whether a watched endpoint needs a probe. */
const CHECK_INTERVAL_MS = 250;

/** How long an incarnation that is not registered is watched, as it may return. */
const MAX_ABSENCE_MS = 60_000;

/** What probes need of their entry. */
export interface ProbeParts {
  readonly clock: Clock;
  readonly log: Logger;
  /** False while the incarnation is not registered; it may return. */
  readonly isKnown: (endpoint: Endpoint) => boolean;
  /** From when on the endpoint counts as silent. */
  readonly silentAfterMs: (endpoint: Endpoint) => number;
  /** Path of health checks; undefined if the endpoint's service has none. */
  readonly healthPathOf: (endpoint: Endpoint) => string | undefined;
  /** Resolves with whether the endpoint answered at all. */
  readonly check: (address: EndpointAddress, path: string) => Promise<boolean>;
  readonly signal: AbortSignal;
}

/**
 * Probes endpoints that have stopped answering, by health checks. They get no requests meanwhile
 * that another endpoint can serve, so that no caller has to find out when they answer again.
 */
export class SilenceProbes {
  /** By the state that an incarnation keeps while its registration is missing. */
  private readonly watched = new Set<AnnouncedState>();

  constructor(private readonly parts: ProbeParts) {}

  /** Probes the endpoint while it is silent; called after a send that it left unanswered. */
  watch(endpoint: Endpoint): void {
    if (this.watched.has(endpoint.announced)) return;
    this.watched.add(endpoint.announced);
    this.scheduleCheck(endpoint);
  }

  private scheduleCheck(endpoint: Endpoint): void {
    const {clock} = this.parts;
    clock.after(CHECK_INTERVAL_MS, () => void this.checkAgain(endpoint));
  }

  private async checkAgain(endpoint: Endpoint): Promise<void> {
    const {clock, isKnown, healthPathOf, signal} = this.parts;
    const {unanswered, backoff} = endpoint.announced;
    const path = healthPathOf(endpoint);
    const nowMs = clock.nowMs();
    const silentForMs = unanswered.silentForMs(nowMs);
    const isGone = !isKnown(endpoint) && silentForMs > MAX_ABSENCE_MS;
    const isOver = isGone || unanswered.count === 0;
    if (signal.aborted || path === undefined || isOver) {
      this.watched.delete(endpoint.announced);
      return;
    }
    const isSilent = silentForMs > this.parts.silentAfterMs(endpoint);
    const isResting = backoff.remainingMs(nowMs) > 0;
    const mayProbe = isSilent && !isResting && isKnown(endpoint);
    if (mayProbe && unanswered.isProbeDue(nowMs)) {
      await this.probe(endpoint, path);
    }
    this.scheduleCheck(endpoint);
  }

  private async probe(endpoint: Endpoint, path: string): Promise<void> {
    const {clock, log, check} = this.parts;
    const {unanswered} = endpoint.announced;
    const sentMs = clock.nowMs();
    const silentForMs = Math.round(unanswered.silentForMs(sentMs));
    unanswered.noteProbe(sentMs);
    const hasAnswered = await check(endpoint.record.address, path);
    if (hasAnswered) unanswered.noteProbeAnswered(sentMs, clock.nowMs());
    log.info('endpoint.probed', {
      endpoint: endpoint.id,
      service: endpoint.record.service,
      silentForMs,
      hasAnswered,
      unanswered: unanswered.count,
    });
  }
}
