import {describe, expect, it} from 'vitest';
import type {AllowedRequest} from '../callerExchange.js';
import {requestFingerprint} from '../requestFingerprint.js';

type Asked = Pick<AllowedRequest, 'request' | 'organisation'>;

function asked(
  changes: Partial<AllowedRequest['request']> = {},
  organisation = 'yard',
): Asked {
  return {
    request: {
      requestId: 'a-1',
      method: 'POST',
      target: '/check/?page=1',
      path: '/check/',
      host: 'quotes.example',
      rawHeaders: [],
      ...changes,
    },
    organisation: {name: organisation, priority: 0, apiKeys: []},
  } as unknown as Asked;
}

const BODY = Buffer.from('prompt');

describe('the fingerprint of a request', () => {
  const first = requestFingerprint(asked(), BODY);

  it('is the same for another attempt with other headers', () => {
    const again = asked({requestId: 'a-2', rawHeaders: ['X-Other', '1']});
    expect(requestFingerprint(again, BODY)).toBe(first);
  });

  it('differs by target, host, method, organisation and body', () => {
    const others = [
      requestFingerprint(asked({target: '/check/?page=2'}), BODY),
      requestFingerprint(asked({host: 'other.example'}), BODY),
      requestFingerprint(asked({method: 'PUT'}), BODY),
      requestFingerprint(asked({}, 'desk'), BODY),
      requestFingerprint(asked(), Buffer.from('prompt ')),
    ];
    expect(new Set([first, ...others]).size).toBe(6);
  });
});
