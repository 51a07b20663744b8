import {randomUUID} from 'node:crypto';
import type {Organisation} from '@lilacledge/config';
import {MAX_SHORT_STRING_LENGTH} from '@lilacledge/protocol';
import {
  FailureError,
  FailureKind,
  mintTimeMs,
  notRun,
} from '@lilacledge/shared';
import type {RequestSpan} from '@lilacledge/telemetry';
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
} from './completionFormat.js';
import type {CompletionBody} from './completionFormat.js';
import {toProblemResponse} from './problem.js';
import {toFullResponse, toStreamResponse} from './streamResponse.js';

/** Retry delay that a caller gets before a configuration is known. */
const NOT_READY_RETRY_MS = 1_000;

/** An authenticated request, with the configuration that applies to it. */
interface AuthenticatedCaller {
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly directory: OrganisationDirectory;
  readonly span: RequestSpan;
}

/** Creates the HTTP API for callers: completions, models and plain services. */
export function createCallerApi(entry: Entry): H3 {
  const app = new H3();
  app.post('/v1/chat/completions', (event) =>
    handleRequest(entry, event, (caller) =>
      complete(entry, event, caller, CompletionKind.CHAT),
    ),
  );
  app.post('/v1/completions', (event) =>
    handleRequest(entry, event, (caller) =>
      complete(entry, event, caller, CompletionKind.TEXT),
    ),
  );
  app.get('/v1/models', (event) =>
    handleRequest(entry, event, async (caller) => listModels(caller)),
  );
  app.all('/services/:service/**', (event) =>
    handleRequest(entry, event, (caller) => callPlain(entry, event, caller)),
  );
  return app;
}

/**
 * Authenticates and runs one request; a thrown failure becomes a problem
 * document.
 */
async function handleRequest(
  entry: Entry,
  event: H3Event,
  run: (caller: AuthenticatedCaller) => Promise<Response>,
): Promise<Response> {
  const requestId = event.req.headers.get('x-request-id') ?? randomUUID();
  const traceparent = readTraceparent(event);
  const span = entry.ports.tracer.startRequestSpan(
    'entry.request',
    traceparent,
  );
  try {
    refuseLongNames(event);
    const caller = authenticate(entry, event, requestId, span);
    const response = await run(caller);
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

/** Headers of callers that are sent on to sidecars as they are. */
const FORWARDED_NAMES = ['x-request-id', 'content-type'];

/**
 * Throws if a header is too long for the messages to sidecars, which close their links over one
 * that they can't read.
 */
function refuseLongNames(event: H3Event): void {
  for (const name of FORWARDED_NAMES) {
    const {length} = event.req.headers.get(name) ?? '';
    if (length <= MAX_SHORT_STRING_LENGTH) continue;
    const detail = `${name}: at most ${MAX_SHORT_STRING_LENGTH} characters`;
    throw new FailureError(notRun(FailureKind.BAD_REQUEST, detail));
  }
}

/** The trace of the caller; a new one begins if it can't be read (W3C Trace Context, 3.3). */
function readTraceparent(event: H3Event): string {
  const text = event.req.headers.get('traceparent') ?? '';
  return text.length <= MAX_SHORT_STRING_LENGTH ? text : '';
}

function authenticate(
  entry: Entry,
  event: H3Event,
  requestId: string,
  span: RequestSpan,
): AuthenticatedCaller {
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
  caller: AuthenticatedCaller,
  kind: CompletionKind,
): Promise<Response> {
  const {requestId} = caller;
  const body = await readCompletion(entry, event, kind);
  const route = findModelRoute(caller, body.model);
  const formatter = new CompletionFormatter(
    kind,
    requestId,
    body.model,
    Math.floor(entry.ports.clock.wallMs() / 1000),
  );
  const callerGone = new AbortController();
  event.req.signal.addEventListener('abort', () => callerGone.abort());
  const events = openStream(
    entry,
    event,
    caller,
    body,
    route,
    callerGone.signal,
  );
  return body.isStream
    ? toStreamResponse(requestId, events, formatter, () => callerGone.abort())
    : toFullResponse(requestId, events, formatter);
}

function openStream(
  entry: Entry,
  event: H3Event,
  caller: AuthenticatedCaller,
  body: CompletionBody,
  route: ModelRoute,
  signal: AbortSignal,
): AsyncIterable<StreamEvent> {
  const {requestId, organisation, span} = caller;
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
      maxQueueMs: readMaxWaitMs(event) ?? service.policy.maxQueueMs,
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

function findModelRoute(
  caller: AuthenticatedCaller,
  model: string,
): ModelRoute {
  const models = caller.directory.models(caller.organisation.id);
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

function listModels(caller: AuthenticatedCaller): Response {
  const data = caller.directory.models(caller.organisation.id).map((route) => ({
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
  caller: AuthenticatedCaller,
): Promise<Response> {
  const request = await toPlainRequest(entry, event, caller);
  const result = await entry.call(request);
  if (result.kind === 'failed') {
    return toProblemResponse(result.failure, caller.requestId);
  }
  const {status, contentType, isReplay} = result;
  const body =
    status === 204 || status === 304 ? null : Buffer.from(result.body);
  return new Response(body, {
    status,
    headers: {
      'x-request-id': caller.requestId,
      ...(contentType === '' ? {} : {'content-type': contentType}),
      ...(isReplay ? {'idempotent-replayed': 'true'} : {}),
    },
  });
}

async function toPlainRequest(
  entry: Entry,
  event: H3Event,
  caller: AuthenticatedCaller,
): Promise<PlainCallRequest> {
  const {requestId, organisation, directory, span} = caller;
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
    key: isRepeatable ? '' : readIdempotencyKey(event),
    traceparent: span.traceparent,
  };
}

function readIdempotencyKey(event: H3Event): string {
  const key = event.req.headers.get('idempotency-key') ?? '';
  if (mintTimeMs(key) !== undefined) return key;
  throw new FailureError(
    notRun(
      FailureKind.KEY_MISSING,
      'this call may not be repeated: send an Idempotency-Key that is a UUIDv7 (RFC 9562)',
    ),
  );
}

function readMaxWaitMs(event: H3Event): number | undefined {
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

/** Reads the body; one above the size limit is refused. */
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
