import {createRandom} from '@lilacledge/shared';
import {describe, expect, it} from 'vitest';
import {CallTimes} from '../callTimes.js';

/** Draws a log-normal response time; the sum of 12 uniforms is nearly normal. */
function drawMs(medianMs: number, random: () => number): number {
  let sum = -6;
  for (let index = 0; index < 12; index++) sum += random();
  return medianMs * Math.exp(0.5 * sum);
}

describe('CallTimes', () => {
  it.each([26, 75])('hedges few calls if their median is %d ms', (medianMs) => {
    const random = createRandom(4);
    const times = new CallTimes();
    let hedgedCount = 0;
    for (let call = 0; call < 2_000; call++) {
      const tookMs = drawMs(medianMs, random);
      if (tookMs > times.p97Ms) hedgedCount++;
      times.note(tookMs);
    }
    expect(hedgedCount / 2_000).toBeLessThan(0.05);
    expect(times.p97Ms).toBeGreaterThan(medianMs * 1.5);
    expect(times.p97Ms).toBeLessThan(medianMs * 4);
  });

  it('follows a service that slows down and recovers', () => {
    const random = createRandom(9);
    const times = new CallTimes();
    for (let call = 0; call < 500; call++) times.note(drawMs(30, random));
    const fastMs = times.p97Ms;
    for (let call = 0; call < 300; call++) times.note(drawMs(90, random));
    expect(times.p97Ms).toBeGreaterThan(fastMs * 2);
    for (let call = 0; call < 1_000; call++) times.note(drawMs(30, random));
    expect(times.p97Ms).toBeLessThan(fastMs * 1.6);
  });
});
