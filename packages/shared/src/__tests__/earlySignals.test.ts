import {EventEmitter} from 'node:events';
import {beforeEach, describe, expect, it} from 'vitest';
import {EarlySignals} from '../earlySignals.js';

let source: EventEmitter;
let signals: EarlySignals;
let calls: number;

beforeEach(() => {
  source = new EventEmitter();
  signals = new EarlySignals(source);
  calls = 0;
});

function handle(): void {
  signals.on('SIGHUP', () => calls++);
}

describe('EarlySignals', () => {
  it('hands on each signal that comes later', () => {
    handle();
    source.emit('SIGHUP');
    source.emit('SIGHUP');
    expect(calls).toBe(2);
  });

  it('hands on one that came before its handler, once', () => {
    source.emit('SIGHUP');
    source.emit('SIGHUP');
    handle();
    expect(calls).toBe(1);
  });

  it('keeps signals apart', () => {
    source.emit('SIGTERM');
    handle();
    expect(calls).toBe(0);
  });
});
