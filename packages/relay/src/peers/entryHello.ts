import {formatAddress} from '../model/index.js';
import type {EndpointAddress} from '../model/index.js';
import type {RelayContext} from '../requests/relayContext.js';
import {PeerRole} from './peerMessages.js';
import type {Hello} from './peerMessages.js';

/** The first message of an entry on each of its links, with the later types that it reads. */
export function entryHello(
  {settings}: RelayContext,
  address: EndpointAddress,
): Hello {
  return {
    type: 'hello',
    instance: settings.instanceName,
    role: PeerRole.ENTRY,
    zone: settings.zone,
    linkAddress: formatAddress(address),
    readsTypes: [
      'demand',
      'configPartRequest',
      'saturation',
      'longSuspicion',
      'entryCount',
      'retryLoanAsk',
      'retryLoanAnswer',
      'retryLoanSettled',
    ],
  };
}
