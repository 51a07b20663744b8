import type {MetricsRegistry} from '@lilacledge/telemetry';

const FIRST_TOKEN_BUCKETS_S = [0.05, 0.1, 0.25, 0.5, 0.97, 2, 5, 15, 60];

/** Registers the metrics of an entry, which docs/operators.md explains. */
export function createEntryMetrics(registry: MetricsRegistry) {
  return {
    requests: registry.counter(
      'lilacledge_entry_requests_total',
      'Requests of callers, by kind.',
      ['kind'],
    ),
    outcomes: registry.counter(
      'lilacledge_entry_outcomes_total',
      'Final answers, by outcome and verdict.',
      ['outcome', 'verdict'],
    ),
    retries: registry.counter(
      'lilacledge_entry_retries_total',
      'Requests tried again at another endpoint, by cause.',
      ['cause'],
    ),
    resumes: registry.counter(
      'lilacledge_entry_resumes_total',
      'Streams gone on with after a lost link or by a returning caller.',
      ['cause'],
    ),
    firstToken: registry.histogram(
      'lilacledge_entry_first_token_seconds',
      'Time from a request to its first token.',
      FIRST_TOKEN_BUCKETS_S,
    ),
    links: registry.gauge(
      'lilacledge_entry_links',
      'Links to sidecars, by state.',
      ['state'],
    ),
    revision: registry.gauge(
      'lilacledge_config_revision',
      'Revision of the configuration in force at this process.',
    ),
    storeBehind: registry.gauge(
      'lilacledge_config_store_behind',
      'Revisions by which the store is older than this process.',
    ),
    slotConflicts: registry.counter(
      'lilacledge_entry_slot_conflicts_total',
      'Keyed calls refused because two endpoints claimed their key.',
    ),
    controlBytes: registry.gauge(
      'lilacledge_control_sent_bytes',
      'Control bytes sent over links that are open.',
    ),
  };
}

export type EntryMetrics = ReturnType<typeof createEntryMetrics>;
