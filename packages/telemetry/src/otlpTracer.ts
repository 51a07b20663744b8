import {
  SpanKind,
  SpanStatusCode,
  TraceFlags,
  context,
  trace,
} from '@opentelemetry/api';
import type {SpanContext} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
} from '@opentelemetry/sdk-trace-base';

import type {Tracer, TracingSettings} from './tracer.js';

/** Creates a tracer that exports spans over OTLP in batches. */
export function createOtlpTracer(
  settings: TracingSettings & {readonly tracesUrl: string},
): Tracer {
  const exporter = new OTLPTraceExporter({url: settings.tracesUrl});
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({
      'service.name': `lilacledge-${settings.role}`,
      'service.instance.id': settings.instanceId,
    }),
    spanProcessors: [
      new BatchSpanProcessor(exporter, {scheduledDelayMillis: 500}),
    ],
  });
  const tracer = provider.getTracer('lilacledge');
  return {
    startRequestSpan(name, traceparent) {
      const parent = parseTraceparent(traceparent);
      const activeContext = context.active();
      const parentContext =
        parent === undefined
          ? activeContext
          : trace.setSpanContext(activeContext, parent);
      const span = tracer.startSpan(
        name,
        {kind: SpanKind.SERVER},
        parentContext,
      );
      return {
        traceparent: formatTraceparent(span.spanContext()),
        event: (eventName, fields) => span.addEvent(eventName, fields),
        end(outcome, detail) {
          const isOk = outcome === 'ok';
          const code = isOk ? SpanStatusCode.OK : SpanStatusCode.ERROR;
          span.setStatus({code, message: detail});
          span.end();
        },
      };
    },
    shutdown: () => provider.shutdown(),
  };
}

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}$/;

function parseTraceparent(text: string): SpanContext | undefined {
  const match = TRACEPARENT.exec(text);
  if (match === null) return undefined;
  return {
    traceId: match[1]!,
    spanId: match[2]!,
    traceFlags: TraceFlags.SAMPLED,
    isRemote: true,
  };
}

function formatTraceparent(span: SpanContext): string {
  return `00-${span.traceId}-${span.spanId}-01`;
}
