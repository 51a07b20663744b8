import type {MetricsRegistry} from '@lilacledge/telemetry';

/** The metrics of a sidecar, explained in docs/operators.md. */
export function createSidecarMetrics(registry: MetricsRegistry) {
  return {
    requests: registry.counter(
      'lilacledge_sidecar_requests_total',
      'Requests taken from entries, by kind.',
      ['kind'],
    ),
    outcomes: registry.counter(
      'lilacledge_sidecar_outcomes_total',
      'Ended requests, by outcome and verdict.',
      ['outcome', 'verdict'],
    ),
    tokens: registry.counter(
      'lilacledge_sidecar_tokens_total',
      'Output tokens received from the engine.',
    ),
    running: registry.gauge(
      'lilacledge_sidecar_running',
      'Generations at the engine.',
    ),
    queued: registry.gauge(
      'lilacledge_sidecar_queued',
      'Generations that wait for admission.',
    ),
    links: registry.gauge('lilacledge_sidecar_links', 'Open links to entries.'),
    failedLinks: registry.counter(
      'lilacledge_sidecar_links_refused_total',
      'Links ended for a fault of the peer, by reason.',
      ['reason'],
    ),
    revision: registry.gauge(
      'lilacledge_config_revision',
      'Revision of the configuration in force at this process.',
    ),
    controlBytes: registry.gauge(
      'lilacledge_control_sent_bytes',
      'Control bytes sent over links that are open.',
    ),
  };
}

export type SidecarMetrics = ReturnType<typeof createSidecarMetrics>;
