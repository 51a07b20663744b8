import {VirtualClock} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {silentLog} from '../../log/boundedLog.js';
import {testRecord} from '../../__tests__/testRecord.js';
import {ALL_ON} from '../../switches.js';
import type {Switches} from '../../switches.js';
import type {Endpoint} from '../endpoint.js';
import {EndpointDirectory} from '../endpointDirectory.js';

function endpointWith(off: Partial<Switches>): Endpoint {
  const switches = {...ALL_ON, ...off};
  const directory = new EndpointDirectory(
    new VirtualClock(),
    silentLog,
    switches,
  );
  directory.upsert(testRecord({warmupLeftMs: 5_000}), 1);
  return directory.get('a')!;
}

describe('switches for endpoints', () => {
  it.each([true, false])(
    'doubts: %s decides if a reset causes a doubt',
    (doubts) => {
      const endpoint = endpointWith({doubts});
      endpoint.health.noteNoResponse(0, true, 1);
      expect(endpoint.health.isDoubted(1)).toBe(doubts);
    },
  );

  it.each([true, false])(
    'warmUp: %s decides if a new endpoint is warming',
    (warmUp) => {
      expect(endpointWith({warmUp}).isWarming(1)).toBe(warmUp);
    },
  );
});
