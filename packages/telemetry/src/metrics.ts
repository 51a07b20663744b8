import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

/** Registers counters, gauges and histograms, given their label names. */
export interface MetricsRegistry {
  counter(name: string, help: string, labels?: string[]): Counter;
  gauge(name: string, help: string, labels?: string[]): Gauge;
  histogram(
    name: string,
    help: string,
    buckets: number[],
    labels?: string[],
  ): Histogram;
  /** All metrics in the Prometheus text format. */
  text(): Promise<string>;
}

/** Creates a registry; `includeProcessMetrics` adds the default metrics of a Node.js process. */
export function createMetrics(includeProcessMetrics: boolean): MetricsRegistry {
  const registry = new Registry();
  if (includeProcessMetrics) collectDefaultMetrics({register: registry});
  const registers = [registry];
  return {
    counter: (name, help, labelNames = []) =>
      new Counter({name, help, labelNames, registers}),
    gauge: (name, help, labelNames = []) =>
      new Gauge({name, help, labelNames, registers}),
    histogram: (name, help, buckets, labelNames = []) =>
      new Histogram({name, help, buckets, labelNames, registers}),
    text: () => registry.metrics(),
  };
}
