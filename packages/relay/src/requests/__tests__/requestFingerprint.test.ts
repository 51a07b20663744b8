import {describe, expect, it} from 'vitest';
import type {AllowedRequest} from '../callerExchange.js';
import {requestFingerprint, sharedPartDigests} from '../requestFingerprint.js';

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

describe('the digests of the shared parts of a prompt', () => {
  function digestsOf(ids: readonly string[], service = 'drafts'): string[] {
    const prefixParts = ids.map((id) => ({id, tokens: 10}));
    const size = {promptTokens: 100, maxOutputTokens: 10, prefixParts};
    const {request} = asked({size});
    return sharedPartDigests({request, service});
  }

  it('are those of all parts but the last, in order', () => {
    const [a, b] = digestsOf(['a', 'b', 'own']);
    expect(digestsOf(['b', 'a', 'other'])).toEqual([b, a]);
    expect(digestsOf(['a'])).toEqual([]);
    expect(sharedPartDigests({...asked(), service: 'drafts'})).toEqual([]);
  });

  // Guards against parts behind many others that no crash is compared by.
  it('differ by service, and no part is left out', () => {
    expect(digestsOf(['a', 'own'], 'quotes')).not.toEqual(
      digestsOf(['a', 'own']),
    );
    const many = Array.from({length: 1_000}, (_unused, index) => `${index}`);
    expect(new Set(digestsOf(many)).size).toBe(999);
  });
});
