import type {Endpoint} from '../../endpoints/endpoint.js';
import {ActiveRun} from '../runRegistry.js';

/** A run of an organisation at some engine of a service. */
export function runOf(
  organisation: string | undefined,
  tokens: number,
  service: string,
): ActiveRun {
  const endpoint = {record: {service}} as Endpoint;
  return new ActiveRun('r', endpoint, tokens, 100, 4, 0, {organisation});
}
