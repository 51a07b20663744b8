export {answerProbe} from './answerProbe.js';
export type {ProbedProcess} from './answerProbe.js';
export {createLogger, silentLogger} from './logger.js';
export type {LogFields, Logger} from './logger.js';
export {createMetrics} from './metrics.js';
export type {MetricsRegistry} from './metrics.js';
export {createTracer, silentTracer} from './tracing.js';
export type {RequestSpan, Tracer} from './tracer.js';
