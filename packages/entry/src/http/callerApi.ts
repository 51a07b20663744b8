import {randomUUID} from 'node:crypto';
import type {Organisation} from '@lilacledge/config';
import {
  FailureError,
  FailureKind,
  mintTimeMs,
  notRun,
} from '@lilacledge/shared';
import type {HopSpan} from '@lilacledge/telemetry';
import {H3} from 'h3';
import type {H3Event} from 'h3';
import type {PlainCallRequest, StreamEvent} from '../callerRequest.js';
import type {Entry} from '../createEntry.js';
import type {
  ModelRoute,
  OrganisationDirectory,
} from '../organisationDirectory.js';
import {
  CompletionFormatter,
  CompletionKind,
  parseCompletionBody,
} from './completionForm.js';
import type {CompletionBody} from './completionForm.js';
import {toProblemResponse} from './problem.js';
import {toStreamResponse, toWholeResponse} from './streamResponse.js';

const NOT_READY_RETRY_MS = 1_000;

/** What every call of a caller starts with. */
interface CallerContext {
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly directory: OrganisationDirectory;
  readonly span: HopSpan;
}

/** The HTTP interface of callers: completions, models and plain services. */
export function createCallerApi(entry: Entry): H3 {
  const app = new H3();
  app.post('/v1/chat/completions', (event) =>
    answer(entry, event, (context) =>
      complete(entry, event, context, CompletionKind.CHAT),
    ),
  );
  app.post('/v1/completions', (event) =>
    answer(entry, event, (context) =>
      complete(entry, event, context, CompletionKind.TEXT),
    ),
  );
  app.get('/v1/models', (event) =>
    answer(entry, event, async (context) => listModels(context)),
  );
  app.all('/services/:service/**', (event) =>
    answer(entry, event, (context) => callPlain(entry, event, context)),
  );
  return app;
}

/** Runs one call; a thrown failure becomes its problem document. */
async function answer(
  entry: Entry,
  event: H3Event,
  run: (context: CallerContext) => Promise<Response>,
): Promise<Response> {
  const requestId = event.req.headers.get('x-request-id') ?? randomUUID();
  const traceparent = event.req.headers.get('traceparent') ?? '';
  const span = entry.ports.tracer.startHop('entry.request', traceparent);
  try {
    const context = authenticate(entry, event, requestId, span);
    const response = await run(context);
    span.event('answered', {requestId, status: response.status});
    span.end(response.ok ? 'ok' : 'failed');
    return response;
  } catch (error) {
    span.end('failed', String(error));
    if (error instanceof FailureError) {
      const {failure} = error;
      entry.decisions.note(
        requestId,
        `refused: ${failure.kind}`,
        failure.detail,
      );
      return toProblemResponse(failure, requestId);
    }
    throw error;
  }
}

function authenticate(
  entry: Entry,
  event: H3Event,
  requestId: string,
  span: HopSpan,
): CallerContext {
  const {directory} = entry;
  if (directory === undefined) {
    throw new FailureError(
      notRun(
        FailureKind.NOT_READY,
        'no configuration is known here yet',
        NOT_READY_RETRY_MS,
      ),
    );
  }
  const header = event.req.headers.get('authorization') ?? '';
  const apiKey = header.replace(/^Bearer /i, '');
  const organisation = directory.byApiKey(apiKey);
  if (organisation === undefined) {
    throw new FailureError(
      notRun(FailureKind.UNAUTHENTICATED, 'the API key is not known'),
    );
  }
  return {requestId, organisation, directory, span};
}

async function complete(
  entry: Entry,
  event: H3Event,
  context: CallerContext,
  kind: CompletionKind,
): Promise<Response> {
  const {requestId} = context;
  const body = await readCompletion(entry, event, kind);
  const route = findModel(context, body.model);
  const formatter = new CompletionFormatter(
    kind,
    requestId,
    body.model,
    Math.floor(entry.ports.clock.wallMs() / 1000),
  );
  const left = new AbortController();
  event.req.signal.addEventListener('abort', () => left.abort());
  const events = openStream(entry, event, context, body, route, left.signal);
  return body.isStream
    ? toStreamResponse(requestId, events, formatter, () => left.abort())
    : toWholeResponse(requestId, events, formatter);
}

function openStream(
  entry: Entry,
  event: H3Event,
  context: CallerContext,
  body: CompletionBody,
  route: ModelRoute,
  signal: AbortSignal,
): AsyncIterable<StreamEvent> {
  const {requestId, organisation, span} = context;
  const {traceparent} = span;
  const eventId = event.req.headers.get('last-event-id');
  if (eventId !== null) {
    return entry.resume(
      {requestId, organisation, eventId, traceparent},
      signal,
    );
  }
  const {service} = route;
  return entry.generate(
    {
      requestId,
      organisation,
      route,
      prompt: body.prompt,
      maxTokens: Math.min(
        body.maxTokens ?? service.maxTokensLimit,
        service.maxTokensLimit,
      ),
      maxQueueMs: readMaxWait(event) ?? service.policy.maxQueueMs,
      isResumable: body.isStream,
      traceparent,
    },
    signal,
  );
}

async function readCompletion(
  entry: Entry,
  event: H3Event,
  kind: CompletionKind,
): Promise<CompletionBody> {
  const bytes = await readBody(entry, event);
  const parsed = parseCompletionBody(kind, Buffer.from(bytes).toString());
  if (parsed.ok) return parsed.body;
  throw new FailureError(notRun(FailureKind.BAD_REQUEST, parsed.detail));
}

function findModel(context: CallerContext, model: string): ModelRoute {
  const models = context.directory.models(context.organisation.id);
  const route = models.find((candidate) => candidate.model === model);
  if (route !== undefined) return route;
  const known = models.map((candidate) => candidate.model).join(', ');
  throw new FailureError(
    notRun(
      FailureKind.NOT_FOUND,
      `unknown model; this organisation may use: ${known}`,
    ),
  );
}

function listModels(context: CallerContext): Response {
  const data = context.directory
    .models(context.organisation.id)
    .map((route) => ({
      id: route.model,
      object: 'model',
      created: 0,
      owned_by: route.serviceName,
    }));
  return Response.json({object: 'list', data});
}

async function callPlain(
  entry: Entry,
  event: H3Event,
  context: CallerContext,
): Promise<Response> {
  const request = await toPlainRequest(entry, event, context);
  const result = await entry.call(request);
  if (result.kind === 'failed') {
    return toProblemResponse(result.failure, context.requestId);
  }
  const {status, contentType, isReplay} = result;
  const body =
    status === 204 || status === 304 ? null : Buffer.from(result.body);
  return new Response(body, {
    status,
    headers: {
      'x-request-id': context.requestId,
      ...(contentType === '' ? {} : {'content-type': contentType}),
      ...(isReplay ? {'idempotent-replayed': 'true'} : {}),
    },
  });
}

async function toPlainRequest(
  entry: Entry,
  event: H3Event,
  context: CallerContext,
): Promise<PlainCallRequest> {
  const {requestId, organisation, directory, span} = context;
  const name = event.context.params?.['service'] ?? '';
  const route = directory.plainService(organisation.id, name);
  if (route === undefined) {
    throw new FailureError(
      notRun(FailureKind.NOT_FOUND, 'unknown service for this organisation'),
    );
  }
  const {method} = event.req;
  const isRepeatable = route.service.repeatableMethods.some(
    (repeatable) => repeatable === method,
  );
  return {
    requestId,
    organisation,
    route,
    method,
    path:
      event.url.pathname.slice(`/services/${name}`.length) + event.url.search,
    contentType: event.req.headers.get('content-type') ?? '',
    body: await readBody(entry, event),
    key: isRepeatable ? '' : readKey(event),
    traceparent: span.traceparent,
  };
}

function readKey(event: H3Event): string {
  const key = event.req.headers.get('idempotency-key') ?? '';
  if (mintTimeMs(key) !== undefined) return key;
  throw new FailureError(
    notRun(
      FailureKind.KEY_MISSING,
      'this call may not be repeated: send an Idempotency-Key that is a UUIDv7 (RFC 9562)',
    ),
  );
}

function readMaxWait(event: H3Event): number | undefined {
  const text = event.req.headers.get('lilacledge-max-wait-ms');
  if (text === null) return undefined;
  if (/^\d{1,9}$/.test(text)) return Number(text);
  throw new FailureError(
    notRun(
      FailureKind.BAD_REQUEST,
      'Lilacledge-Max-Wait-Ms: expected whole milliseconds',
    ),
  );
}

/** Reads a body up to the limit; a larger one is refused, not cut. */
async function readBody(entry: Entry, event: H3Event): Promise<Uint8Array> {
  const {maxBodyBytes} = entry.settings;
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of event.req.body ?? []) {
    const bytes = chunk as Uint8Array;
    size += bytes.length;
    if (size > maxBodyBytes) {
      throw new FailureError(
        notRun(
          FailureKind.TOO_LARGE,
          `the body is larger than ${maxBodyBytes} bytes`,
        ),
      );
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks);
}
