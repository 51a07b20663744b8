import {beforeEach, describe, expect, it} from 'vitest';
import {RequestSends} from '../requestSends.js';

let sends: RequestSends;
/** Until when the retries arrived, in the order in which they were settled. */
let settledMs: number[];

beforeEach(() => {
  sends = new RequestSends();
  settledMs = [];
});

function addRetry(): void {
  sends.addRetry({settle: (arrivedByMs) => settledMs.push(arrivedByMs)});
}

describe('the retries of a request', () => {
  it('are open until their own send has arrived', () => {
    sends.begin(0).settle(10);
    addRetry();
    const second = sends.begin(10);
    expect(settledMs).toEqual([]);
    second.settle(50);
    expect(settledMs).toEqual([50]);
  });

  // Guards against retries that count only until they arrive, and not until the first send does.
  it('are open while an earlier send may arrive', () => {
    const first = sends.begin(0);
    addRetry();
    sends.begin(200).settle(250);
    sends.end(260);
    expect(settledMs).toEqual([]);
    first.settle(9_000);
    expect(settledMs).toEqual([9_000]);
  });

  it('are as many as sends that may arrive, of which one is the first', () => {
    const first = sends.begin(0);
    addRetry();
    const second = sends.begin(100);
    addRetry();
    const third = sends.begin(200);
    third.settle(300);
    expect(settledMs).toEqual([]);
    second.settle(400);
    expect(settledMs).toEqual([400]);
    first.settle(500);
    expect(settledMs).toEqual([400, 500]);
  });

  // Guards against a retry whose late send is forgotten as another one is answered at once.
  it('may arrive as late as any of their sends', () => {
    const first = sends.begin(0);
    addRetry();
    const second = sends.begin(100);
    first.settle(2_000);
    second.settle(1_100);
    expect(settledMs).toEqual([2_000]);
  });

  it('are open before their send begins', () => {
    sends.begin(0).settle(10);
    addRetry();
    expect(settledMs).toEqual([]);
  });

  it('are settled at the end if their send never began', () => {
    sends.begin(0).settle(10);
    addRetry();
    sends.end(30);
    expect(settledMs).toEqual([30]);
  });

  it('tells how many sends are open and for how long', () => {
    expect(sends.oldestOpenMs(500)).toBe(0);
    sends.begin(100);
    sends.begin(300);
    expect(sends.openCount).toBe(2);
    expect(sends.oldestOpenMs(500)).toBe(400);
  });
});
