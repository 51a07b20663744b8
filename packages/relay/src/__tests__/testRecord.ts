import {EndpointState} from '../model/index.js';
import type {EndpointRecord} from '../model/index.js';

/** Creates a registration of the endpoint `a`; `changes` override its fields. */
export function testRecord(
  changes: Partial<EndpointRecord> = {},
): EndpointRecord {
  return {
    id: 'a',
    service: 'bookings',
    address: {host: '10.0.0.1', port: 80},
    zone: 'north',
    slots: 6,
    state: EndpointState.READY,
    warmupLeftMs: 0,
    ...changes,
  };
}
