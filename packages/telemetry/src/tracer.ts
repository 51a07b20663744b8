/** Span of a request in one process. */
export interface RequestSpan {
  /** W3C trace context to be passed to the next process. */
  readonly traceparent: string;
  /** Records a decision with its details, such as the choice of an endpoint. */
  event(name: string, fields: Readonly<Record<string, string | number>>): void;
  end(outcome: 'ok' | 'failed', detail?: string): void;
}

export interface Tracer {
  /** Starts a span with the parent `traceparent`, or a new trace if that is empty. */
  startRequestSpan(name: string, traceparent: string): RequestSpan;
  /** Exports the remaining spans and stops. */
  shutdown(): Promise<void>;
}

export interface TracingSettings {
  readonly role: string;
  readonly instanceId: string;
  /** OTLP endpoint; without one no spans are recorded. */
  readonly tracesUrl?: string;
}
