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

function registerHandler(): void {
  signals.on('SIGHUP', () => calls++);
}

describe('EarlySignals', () => {
  it('calls the handler for each later signal', () => {
    registerHandler();
    source.emit('SIGHUP');
    source.emit('SIGHUP');
    expect(calls).toBe(2);
  });

  it('calls the handler once for signals that came before it', () => {
    source.emit('SIGHUP');
    source.emit('SIGHUP');
    registerHandler();
    expect(calls).toBe(1);
  });

  it('calls no handler of another signal', () => {
    source.emit('SIGTERM');
    registerHandler();
    expect(calls).toBe(0);
  });
});
