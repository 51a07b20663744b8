import type {ActiveConfig} from '../config/activeConfig.js';
import {answerBrokenRequests} from '../http/brokenRequests.js';
import type {CallerConnections} from '../http/callerConnections.js';
import {createCallerServer} from '../http/callerServer.js';
import type {CallerServer} from '../http/callerServer.js';
import {RequestTurns} from '../http/requestTurns.js';
import {refuseSentAhead} from '../requests/refuseSentAhead.js';
import type {RelayContext} from '../requests/relayContext.js';
import {endFailed, serveCaller} from '../requests/serveCaller.js';
import {sentAheadLimit} from '../settings.js';

/** The server for callers, and the order in which their requests are begun. */
export interface EntryCallers {
  readonly callers: CallerServer;
  readonly turns: RequestTurns;
}

/** Creates the server for callers, which the configuration limits; it doesn't listen yet. */
export function createEntryCallers(
  context: RelayContext,
  config: ActiveConfig,
  connections: CallerConnections,
  leaving: AbortSignal,
): EntryCallers {
  const {clock, log, metrics, settings} = context;
  const turns = new RequestTurns({
    clock,
    limitBytes: () => sentAheadLimit(settings),
    takeTurn: () => connections.takeSentAheadTurn(),
    isLeaving: () => leaving.aborted,
    begin: (request, response, arrivedMs) =>
      void serveCaller(context, config, request, response, arrivedMs),
    refuse: (request, response) => refuseSentAhead(context, request, response),
    onFailed: (response, error) => endFailed(context, response, error),
  });
  const callers = createCallerServer((request, response) => {
    if (request.socket.writable) {
      connections.open.noteRequest(request, response);
    }
    turns.take(request, response);
  });
  answerBrokenRequests(callers.server, {
    connections: connections.open,
    isHeldBack: (socket) => turns.isHeldBack(socket),
    onBroken: (cause, status) => {
      metrics.localAnswers.inc({status, cause});
      log.info('request.broken', {status, cause});
    },
  });
  connections.guard(callers.server);
  config.onChange((table) => {
    callers.setLimits(table.config.limits);
    connections.setLimits(table.config.limits);
    metrics.configVersion.set(table.config.version);
    metrics.served.keepRoutes(
      new Set(table.config.routes.map(({name}) => name)),
    );
  });
  return {callers, turns};
}
