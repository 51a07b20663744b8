import {describe, expect, it} from 'vitest';
import {ALL_ON, parseSwitches, switchedOff} from '../switches.js';

describe('parseSwitches', () => {
  it('takes JSON with comments; what is missing is on', () => {
    const switches = parseSwitches('{\n  // A trial.\n  "runMoves": false,\n}');
    expect(switches).toEqual({...ALL_ON, runMoves: false});
    expect(switchedOff(switches)).toEqual(['runMoves']);
  });

  it('has all on in an empty object', () => {
    expect(parseSwitches('{}')).toEqual(ALL_ON);
    expect(switchedOff(ALL_ON)).toEqual([]);
  });

  it.each([
    ['{"moves": false}', 'moves is no switch; use runMoves, '],
    ['{"runMoves": 0}', 'runMoves is 0; use true or false'],
    ['{"runMoves": null}', 'runMoves is null; use true or false'],
    ['{"constructor": true}', 'constructor is no switch'],
    ['[]', 'not an object'],
    ['{"runMoves": ', 'ValueExpected'],
    ['', 'ValueExpected'],
  ])('refuses %s and says why', (text, problem) => {
    expect(() => parseSwitches(text)).toThrow(problem);
  });
});
