import type {ServerResponse} from 'node:http';
import type {MetricsRegistry} from './metrics.js';

/** Readiness and metrics of the process that probes and scrapes ask for. */
export interface ProbedProcess {
  readonly isReady: boolean;
  readonly metrics: MetricsRegistry;
}

/**
 * Answers `/livez`, `/readyz` and `/metrics`, for every kind of process. Returns false for
 * any other path, which the caller must answer.
 */
export function answerProbe(
  path: string,
  probed: ProbedProcess,
  response: ServerResponse,
): boolean {
  switch (path) {
    case '/livez':
      answerText(response, 200, 'ok');
      return true;
    case '/readyz':
      if (probed.isReady) answerText(response, 200, 'ready');
      else answerText(response, 503, 'not ready');
      return true;
    case '/metrics':
      void answerMetrics(probed.metrics, response);
      return true;
    default:
      return false;
  }
}

async function answerMetrics(
  metrics: MetricsRegistry,
  response: ServerResponse,
): Promise<void> {
  answerText(response, 200, await metrics.text());
}

function answerText(
  response: ServerResponse,
  status: number,
  text: string,
): void {
  response.writeHead(status, {'content-type': 'text/plain; charset=utf-8'});
  response.end(text);
}
