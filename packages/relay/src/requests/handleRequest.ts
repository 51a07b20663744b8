import type {IncomingMessage, ServerResponse} from 'node:http';
import {PayloadKind} from '@lilacledge/policy';
import {assertNever} from '@lilacledge/shared';
import {headBytes} from '../http/callerServer.js';
import type {Payload} from '../http/payload.js';
import {readRequestBody} from '../http/readRequestBody.js';
import type {RequestBodyOutcome} from '../http/readRequestBody.js';
import {RequestClass} from '../model/index.js';
import type {CallerRequest, EngineTraits} from '../model/index.js';
import type {ActiveConfig} from '../config/activeConfig.js';
import type {RouteTable} from '../config/routeTable.js';
import {dropBody} from '../http/discardBody.js';
import {answerUnreadBody, answerWithText, Status} from './answerCaller.js';
import type {UnreadBodyAnswer} from './answerCaller.js';
import {awaitConfig} from './awaitAvailability.js';
import {CallerExchange, callerWaitMs} from './callerExchange.js';
import type {AllowedRequest} from './callerExchange.js';
import {relayCall} from './relayCall.js';
import {relayGeneration} from './relayGeneration.js';
import type {RelayContext} from './relayContext.js';

/** Retry delay where memory is short: other entries may have room at once. */
const BODY_ROOM_RETRY_MS = 250;

/** Used for a streaming service whose configuration does not describe its engine. */
const DEFAULT_ENGINE_TRAITS: EngineTraits = {
  slots: 1_024,
  memoryTokens: 1_000_000,
  bytesPerToken: 0,
  linkMbps: 0,
  canMove: false,
  canBackUp: false,
  tokensPerEvent: 1,
};

/** Result of the authorization and routing of a request. */
type Permission =
  | {readonly kind: 'allowed'; readonly allowed: AllowedRequest}
  | {readonly kind: 'refused'; readonly status: Status; readonly text: string};

/** Handles one request of a caller up to its final answer. Never rejects. */
export async function handleRequest(
  context: RelayContext,
  config: ActiveConfig,
  incoming: IncomingMessage,
  response: ServerResponse,
  arrivedMs = context.clock.nowMs(),
): Promise<void> {
  response.sendDate = false;
  response.on('error', () => {});
  const request = context.codec.readRequest(
    incoming.method!,
    incoming.url!,
    incoming.rawHeaders,
  );
  const configResult = await awaitConfig(context, config);
  if (configResult.kind === 'missing') {
    dropBody(incoming, context.readingTurns);
    const {retryAfterMs} = configResult;
    const text = 'no configuration is known yet';
    refuse(context, request, response, Status.UNAVAILABLE, text, retryAfterMs);
    return;
  }
  const {table} = configResult;
  const permission = authorize(table, request, arrivedMs, headBytes(incoming));
  if (permission.kind === 'refused') {
    dropBody(incoming, context.readingTurns);
    const {status, text} = permission;
    // Only a new configuration can change this.
    const retryAfterMs =
      status === Status.UNAVAILABLE
        ? context.settings.configApplyMs
        : undefined;
    refuse(context, request, response, status, text, retryAfterMs);
    return;
  }
  const {allowed} = permission;
  const {maxBodyBytes} = table.config.limits;
  const leftMs = arrivedMs + callerWaitMs(allowed) - context.clock.nowMs();
  const limits = {maxBytes: maxBodyBytes, timeoutMs: Math.max(0, leftMs)};
  const read = await readRequestBody(incoming, limits, context);
  switch (read.kind) {
    case 'cut':
      context.log.info('request.cut', {
        request: request.requestId,
        detail: read.detail,
      });
      response.destroy();
      return;
    case 'tooLarge':
    case 'noRoom':
    case 'timedOut':
      refuseBody(context, request, read, {
        incoming,
        response,
        maxUnreadBytes: maxBodyBytes,
      });
      return;
    case 'whole':
      try {
        await serve(context, allowed, read.body, response);
      } finally {
        read.release();
      }
      return;
    default:
      assertNever(read);
  }
}

/** The connection of a request whose body is not read as a whole. */
interface UnreadBody {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly maxUnreadBytes: number;
}

type IncompleteBody = Exclude<
  RequestBodyOutcome,
  {readonly kind: 'whole' | 'cut'}
>;

/** Refuses a request whose body is not read as a whole. It has not run. */
function refuseBody(
  context: RelayContext,
  request: CallerRequest,
  read: IncompleteBody,
  {incoming, response, maxUnreadBytes}: UnreadBody,
): void {
  const {status, text, retryAfterMs} = bodyRefusal(read.kind);
  context.metrics.localAnswers.inc({status, cause: text});
  if (read.kind === 'noRoom') {
    const payload = PayloadKind.REQUEST_BODY;
    context.metrics.refusedForMemory.inc({payload});
  }
  context.log.warn('request.bodyRefused', {
    request: request.requestId,
    host: request.host,
    status,
    cause: text,
    bytes: read.bytes,
    heldBytes: context.heldBodies.totalBytes,
  });
  answerUnreadBody(response, incoming, {
    status,
    text,
    retryAfterMs,
    maxUnreadBytes,
    readingTurns: context.readingTurns,
  });
}

function bodyRefusal(
  kind: IncompleteBody['kind'],
): Pick<UnreadBodyAnswer, 'status' | 'text' | 'retryAfterMs'> {
  switch (kind) {
    case 'tooLarge':
      return {status: Status.BODY_TOO_LARGE, text: 'body too large'};
    case 'noRoom':
      return {
        status: Status.UNAVAILABLE,
        text: 'no memory for the body',
        retryAfterMs: BODY_ROOM_RETRY_MS,
      };
    case 'timedOut':
      return {
        status: Status.REQUEST_TIMEOUT,
        text: 'the body did not arrive in time',
      };
    default:
      return assertNever(kind);
  }
}

function authorize(
  table: RouteTable,
  request: CallerRequest,
  arrivedMs: number,
  headSize: number,
): Permission {
  if (headSize > table.config.limits.maxHeaderBytes) {
    return refusal(Status.HEAD_TOO_LARGE, 'head too large');
  }
  const route = table.findRoute(request.host, request.path);
  if (route === undefined) {
    return refusal(Status.NOT_FOUND, 'no route for this host and path');
  }
  const organisation =
    request.apiKey === undefined
      ? undefined
      : table.findOrganisation(request.apiKey);
  if (
    table.requiresApiKeys &&
    organisation === undefined &&
    !route.isAnonymous
  ) {
    return refusal(Status.UNAUTHORIZED, 'no organisation has this API key');
  }
  const service = table.chooseService(route, request.requestId);
  if (service === undefined) {
    return refusal(Status.UNAVAILABLE, 'the route has no service');
  }
  const allowed = {request, route, table, service, organisation, arrivedMs};
  return {kind: 'allowed', allowed};
}

function refusal(status: Status, text: string): Permission {
  return {kind: 'refused', status, text};
}

function refuse(
  context: RelayContext,
  request: CallerRequest,
  response: ServerResponse,
  status: Status,
  text: string,
  retryAfterMs?: number,
): void {
  context.metrics.localAnswers.inc({status, cause: text});
  context.log.info('request.refused', {
    request: request.requestId,
    host: request.host,
    status,
    cause: text,
  });
  answerWithText(response, context.closing, status, text, retryAfterMs);
}

async function serve(
  context: RelayContext,
  allowed: AllowedRequest,
  body: Payload,
  response: ServerResponse,
): Promise<void> {
  const exchange = new CallerExchange(allowed, body, response, context.clock);
  context.retryBudgets.of(allowed.service).noteRequest();
  try {
    if (allowed.route.requestClass === RequestClass.STREAMING) {
      const service = allowed.table.findService(allowed.service);
      const traits = service?.engine ?? DEFAULT_ENGINE_TRAITS;
      await relayGeneration(context, exchange, traits);
    } else {
      await relayCall(context, exchange);
    }
  } catch (error) {
    context.log.error('request.failed', {
      request: exchange.id,
      error: error instanceof Error ? error.stack : String(error),
    });
    const times = {firstMs: exchange.ageMs, longestPauseMs: 0};
    context.metrics.served.note(allowed.route, 'failed', times);
    // The request may have run, so the answer must not claim that it did not.
    if (response.headersSent) response.destroy();
    else {
      answerWithText(
        response,
        context.closing,
        Status.BAD_GATEWAY,
        'internal error',
      );
    }
  } finally {
    exchange.finish();
  }
}
