import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

/** A counter, a gauge or a histogram with its label names. */
export interface MetricsRegistry {
  counter(name: string, help: string, labels?: string[]): Counter;
  gauge(name: string, help: string, labels?: string[]): Gauge;
  histogram(
    name: string,
    help: string,
    buckets: number[],
    labels?: string[],
  ): Histogram;
  /** The text form that Prometheus reads. */
  text(): Promise<string>;
}

/** Creates a registry; `withProcess` adds the metrics of the process itself. */
export function createMetrics(withProcess: boolean): MetricsRegistry {
  const registry = new Registry();
  if (withProcess) collectDefaultMetrics({register: registry});
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
