import {EnginePace} from '@lilacledge/policy';
import {beforeEach, describe, expect, it} from 'vitest';
import {EndpointState} from '../../model/index.js';
import type {EngineTraits} from '../../model/index.js';
import {RunRegistry} from '../../requests/runRegistry.js';
import {chooseEngine} from '../chooseEngine.js';
import {Endpoint} from '../endpoint.js';
import {ZoneLoads} from '../zoneLoads.js';

const NOW_MS = 1_000;

const TRAITS: EngineTraits = {
  slots: 24,
  memoryTokens: 30_000,
  bytesPerToken: 18_432,
  linkMbps: 2_700,
  canMove: true,
  canBackUp: true,
  tokensPerEvent: 4,
};

let zoneLoads: ZoneLoads;

beforeEach(() => {
  zoneLoads = new ZoneLoads();
});

function engine(id: string, zone: string, usedTokens?: number): Endpoint {
  const record = {
    id,
    service: 'drafts',
    address: {host: '10.0.0.1', port: 80},
    zone,
    slots: 24,
    state: EndpointState.READY,
    warmupLeftMs: 0,
  };
  const endpoint = new Endpoint(record, 0);
  if (usedTokens === undefined) return endpoint;
  const load = {
    queued: 0,
    active: 1,
    memoryUsedTokens: usedTokens,
    memoryTokens: TRAITS.memoryTokens,
    promptBacklogTokens: 0,
  };
  endpoint.noteReport(load, NOW_MS - 100);
  return endpoint;
}

function choose(engines: readonly Endpoint[]): string | undefined {
  const choice = chooseEngine(engines, TRAITS, 3_000, new Set(), {
    zone: 'north',
    nowMs: NOW_MS,
    random: () => 0.5,
    drainMs: 2_000,
    runs: new RunRegistry(),
    entryCount: 27,
    zoneLoads,
    pace: new EnginePace(),
    fillLimit: 0.93,
  });
  return choice?.endpoint.id;
}

describe('chooseEngine', () => {
  it('chooses the least full engine that reports', () => {
    const engines = [engine('a', 'north', 9_000), engine('b', 'north', 3_000)];
    expect(choose(engines)).toBe('b');
  });

  it('assumes that an engine without a report is as full as the others', () => {
    const engines = [
      engine('a', 'north', 12_000),
      engine('b', 'north', 20_000),
      engine('far', 'south'),
    ];
    expect(choose(engines)).toBe('a');
  });

  describe('with a reported load of another zone', () => {
    function reportSouth(usedTokens: number, atMs = NOW_MS): void {
      const load = {service: 'drafts', zone: 'south', usedTokens};
      zoneLoads.note({...load, backlogTokens: 0}, atMs);
    }

    it('chooses the other zone if the own zone is much fuller', () => {
      reportSouth(2_000);
      const engines = [engine('a', 'north', 20_000), engine('far', 'south')];
      expect(choose(engines)).toBe('far');
    });

    it('stays in the own zone if the difference is small', () => {
      reportSouth(2_000);
      const engines = [engine('a', 'north', 8_000), engine('far', 'south')];
      expect(choose(engines)).toBe('a');
    });

    it('stays in the own zone if the other zone is full', () => {
      reportSouth(28_000);
      const engines = [engine('a', 'north', 20_000), engine('far', 'south')];
      expect(choose(engines)).toBe('a');
    });

    it('ignores an outdated report', () => {
      reportSouth(2_000, NOW_MS - 2_500);
      const engines = [engine('a', 'north', 20_000), engine('far', 'south')];
      expect(choose(engines)).toBe('a');
    });
  });
});
