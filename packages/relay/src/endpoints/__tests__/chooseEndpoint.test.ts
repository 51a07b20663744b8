import {OpenSend} from '@lilacledge/policy';
import {describe, expect, it} from 'vitest';
import {EndpointState} from '../../model/index.js';
import {ALL_ON} from '../../switches.js';
import type {Switches} from '../../switches.js';
import {chooseForCall} from '../chooseEndpoint.js';
import {Endpoint} from '../endpoint.js';

const DRAIN_MS = 2_000;

function endpoint(
  id: string,
  zone = 'north',
  switches: Switches = ALL_ON,
): Endpoint {
  const record = {
    id,
    service: 'bookings',
    address: {host: '10.0.0.1', port: 80},
    zone,
    slots: 6,
    state: EndpointState.READY,
    warmupLeftMs: 0,
  };
  return new Endpoint(record, 0, () => {}, switches);
}

function choose(
  endpoints: readonly Endpoint[],
  nowMs: number,
  tried: readonly string[] = [],
  silentAfterMs?: () => number,
): string | undefined {
  const context = {
    zone: 'north',
    nowMs,
    random: () => 0.5,
    drainMs: DRAIN_MS,
    silentAfterMs,
  };
  return chooseForCall(endpoints, new Set(tried), context)?.endpoint.id;
}

describe('chooseForCall', () => {
  it('prefers the endpoint with the fewest open requests', () => {
    const [a, b] = [endpoint('a'), endpoint('b')];
    a.outstanding = 2;
    expect(choose([a, b], 0)).toBe('b');
  });

  it('prefers the own zone when loads are equal', () => {
    expect(choose([endpoint('a', 'south'), endpoint('b')], 0)).toBe('b');
  });

  it('counts the load from other entries that the endpoint reported recently', () => {
    const [a, b] = [endpoint('a'), endpoint('b')];
    a.load = {value: {running: 6, waiting: 3, slots: 6}, atMs: 0};
    expect(choose([a, b], 10)).toBe('b');
  });

  // Guards against an endpoint that keeps its share of the sends while it answers none of them.
  it('prefers endpoints that answer to one that has stopped, whatever their load', () => {
    const [a, b] = [endpoint('a'), endpoint('b')];
    b.outstanding = 9;
    a.announced.unanswered.add(new OpenSend(100), 100);
    const silentAfterMs = (): number => 600;
    const chooseAt = (nowMs: number): string | undefined =>
      choose([a, b], nowMs, [], silentAfterMs);
    expect(chooseAt(700)).toBe('a');
    expect(chooseAt(701)).toBe('b');
    a.announced.unanswered.noteProbeAnswered(800, 810);
    expect(chooseAt(820)).toBe('a');
  });

  describe('with a reported pace', () => {
    const slow = {running: 0, waiting: 0, slots: 6, pacePercent: 250};

    it('counts slots times the pace', () => {
      const [a, b] = [endpoint('a'), endpoint('b')];
      a.noteLoad(slow, 0);
      a.outstanding = 1;
      b.outstanding = 3;
      expect(choose([a, b], 0)).toBe('b');
      b.outstanding = 5;
      expect(choose([a, b], 0)).toBe('a');
    });

    // Slots alone would send the next call to a slow endpoint whenever it is idle.
    it('prefers an endpoint with a call to an idle one that is slow', () => {
      const [a, b] = [endpoint('a'), endpoint('b')];
      a.noteLoad(slow, 0);
      b.outstanding = 1;
      expect(choose([a, b], 0)).toBe('b');
    });

    it('chooses the endpoint again as the report ages', () => {
      const [a, b] = [endpoint('a'), endpoint('b')];
      a.noteLoad(slow, 0);
      b.outstanding = 1;
      expect(choose([a, b], 600)).toBe('a');
    });

    it('ignores it where the switch engineSpeeds is off', () => {
      const a = endpoint('a', 'north', {...ALL_ON, engineSpeeds: false});
      const b = endpoint('b');
      a.noteLoad(slow, 0);
      b.outstanding = 1;
      expect(choose([a, b], 0)).toBe('a');
    });
  });

  it('avoids an endpoint that failed repeatedly, until some time has passed', () => {
    const [a, b] = [endpoint('a'), endpoint('b')];
    b.outstanding = 5;
    a.health.noteNoResponse(0, false);
    a.health.noteNoResponse(0, false);
    expect(choose([a, b], 10)).toBe('b');
    expect(choose([a, b], 5_000)).toBe('a');
  });

  it('chooses a doubted endpoint if there is no other', () => {
    const a = endpoint('a');
    a.health.noteNoResponse(0, false);
    a.health.noteNoResponse(0, false);
    expect(choose([a], 10)).toBe('a');
  });

  describe('with endpoints that are leaving', () => {
    it('chooses none of them while another endpoint is not leaving', () => {
      const [a, b] = [endpoint('a'), endpoint('b')];
      a.noteLeaveReceived(0);
      b.outstanding = 20;
      expect(choose([a, b], 10)).toBe('b');
    });

    it('chooses one as a last resort, until well before the drain time ends', () => {
      const a = endpoint('a');
      a.noteLeaveReceived(0);
      expect(choose([a], 100)).toBe('a');
      expect(choose([a], DRAIN_MS * 0.8)).toBeUndefined();
    });

    it('chooses none for a second send after the drain time', () => {
      const [a, b] = [endpoint('a'), endpoint('b')];
      a.noteLeaveReceived(0);
      expect(choose([a, b], DRAIN_MS + 330, ['b'])).toBeUndefined();
    });
  });
});
