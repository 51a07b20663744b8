import {describe, expect, it} from 'vitest';
import {ALL_ON, parseSwitches, switchedOff} from '../switches.js';

describe('parseSwitches', () => {
  it('parses JSON with comments; missing switches are on', () => {
    const switches = parseSwitches('{\n  // A trial.\n  "runMoves": false,\n}');
    expect(switches).toEqual({...ALL_ON, runMoves: false});
    expect(switchedOff(switches)).toEqual(['runMoves']);
  });

  it('turns all switches on for an empty object', () => {
    expect(parseSwitches('{}')).toEqual(ALL_ON);
    expect(switchedOff(ALL_ON)).toEqual([]);
  });

  it.each([
    ['{"moves": false}', 'unknown switch moves; use runMoves, '],
    ['{"runMoves": 0}', 'runMoves is 0; use true or false'],
    ['{"runMoves": null}', 'runMoves is null; use true or false'],
    ['{"constructor": true}', 'unknown switch constructor'],
    ['[]', 'not a JSON object'],
    ['{"runMoves": ', 'ValueExpected'],
    ['', 'ValueExpected'],
  ])('rejects %s with a reason', (text, problem) => {
    expect(() => parseSwitches(text)).toThrow(problem);
  });
});
