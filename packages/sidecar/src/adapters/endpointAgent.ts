import {Agent} from 'undici';

/**
 * Creates the agent of calls to an endpoint. Each has a connection of its own: a kept one may
 * have fallen silent or be closed by the endpoint, so that a request is lost on it.
 */
export function createEndpointAgent(options: Agent.Options = {}): Agent {
  return new Agent({...options, pipelining: 0});
}
