import {beforeEach, describe, expect, it} from 'vitest';
import {MAX_OPEN_MS} from '../openRetry.js';
import {OpenSend} from '../openSend.js';
import {UnansweredSends} from '../unansweredSends.js';

let sends: UnansweredSends;
/** Until when sends arrived, by the times at which they were sent. */
let arrivedByMs: Map<number, number>;

beforeEach(() => {
  sends = new UnansweredSends();
  arrivedByMs = new Map();
});

function send(sentMs: number): OpenSend {
  const added = new OpenSend(sentMs, (byMs) => arrivedByMs.set(sentMs, byMs));
  sends.add(added, sentMs);
  return added;
}

describe('UnansweredSends', () => {
  describe('a send that was given up', () => {
    it('is open while the endpoint answers nothing', () => {
      sends.noteAbandoned(send(0), 800);
      expect(sends.count).toBe(1);
      expect(arrivedByMs.size).toBe(0);
    });

    it('is open after an answer to what was sent before it was given up', () => {
      const earlier = send(0);
      sends.noteAbandoned(send(10), 800);
      sends.noteAnswered(earlier, 900);
      expect([...arrivedByMs.keys()]).toEqual([0]);
    });

    // Guards against retries that count for longer than anything of them can arrive.
    it('has arrived soon after an answer to a later send, or never will', () => {
      sends.noteAbandoned(send(0), 800);
      const later = send(900);
      sends.noteAnswered(later, 1_000);
      expect(arrivedByMs.get(0)).toBeGreaterThan(1_000);
      expect(arrivedByMs.get(0)).toBeLessThanOrEqual(2_000);
      expect(sends.count).toBe(0);
    });

    it('has arrived soon after an answer to a later probe', () => {
      sends.noteAbandoned(send(0), 800);
      sends.noteProbeAnswered(700, 900);
      expect(sends.count).toBe(1);
      sends.noteProbeAnswered(1_000, 1_100);
      expect(sends.count).toBe(0);
    });

    it('never arrives once the process has ended', () => {
      sends.noteAbandoned(send(0), 800);
      sends.noteProcessEnded(2_000);
      expect(arrivedByMs.get(0)).toBe(2_000);
    });

    it('is forgotten after the longest time that is covered', () => {
      sends.noteAbandoned(send(0), 800);
      sends.noteAbandoned(send(MAX_OPEN_MS + 1), MAX_OPEN_MS + 801);
      expect(sends.count).toBe(1);
    });
  });

  describe('the silence of an endpoint', () => {
    it('begins with the first send that it does not answer', () => {
      send(100);
      send(400);
      expect(sends.silentForMs(1_100)).toBe(1_000);
    });

    // Guards against an endpoint that counts as silent because a send to it had to wait here.
    it('begins when the send is made, not when it begins to wait for that', () => {
      sends.add(new OpenSend(0), 2_000);
      expect(sends.silentForMs(2_100)).toBe(100);
    });

    it('begins again with each answer', () => {
      const first = send(100);
      send(200);
      sends.noteAnswered(first, 1_000);
      expect(sends.silentForMs(1_100)).toBe(100);
    });

    it('ends when nothing is owed', () => {
      sends.noteAnswered(send(100), 1_000);
      expect(sends.silentForMs(5_000)).toBe(0);
    });

    it('ends when its only send can no longer arrive', () => {
      sends.noteEnded(send(100), 300);
      expect(sends.silentForMs(5_000)).toBe(0);
    });

    // Guards against an endpoint that keeps its share of the sends as their callers give up.
    it('goes on after sends were given up', () => {
      sends.noteAbandoned(send(0), 800);
      expect(sends.silentForMs(5_000)).toBe(5_000);
    });

    it('ends with the answer to a probe', () => {
      sends.noteAbandoned(send(0), 800);
      sends.noteProbeAnswered(2_000, 2_010);
      expect(sends.silentForMs(5_000)).toBe(0);
    });
  });

  it('asks for probes less often the longer an endpoint is silent', () => {
    send(0);
    const times: number[] = [];
    for (let nowMs = 1_000; nowMs <= 60_000; nowMs += 50) {
      if (!sends.isProbeDue(nowMs)) continue;
      sends.noteProbe(nowMs);
      times.push(nowMs);
    }
    const gaps = times.slice(1).map((atMs, index) => atMs - times[index]!);
    expect(gaps[0]).toBeLessThanOrEqual(600);
    expect(gaps.at(-1)).toBe(5_000);
    expect(times.length).toBeLessThan(30);
  });
});
