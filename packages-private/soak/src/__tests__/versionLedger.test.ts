import {expect, it} from 'vitest';
import {VersionLedger} from '../versionLedger.js';

const APPLY_MS = 2_000;

function activeLine(version: number, timeMs: number): string {
  return JSON.stringify({timeMs, event: 'config.inForce', version});
}

function lateVersions(...activeLines: string[]): string[] {
  const ledger = new VersionLedger();
  ledger.noteWritten(2, 1_000);
  ledger.noteWritten(3, 1_500);
  ledger.readLog(
    'entry-1',
    ['{"event":"peer.opened"}', ...activeLines].join('\n'),
  );
  return ledger.violations(APPLY_MS);
}

// Guards the judge: a version that is skipped for a newer one in time is not late.
it('tells versions that are late or never active, and no others', () => {
  expect(lateVersions(activeLine(2, 1_900), activeLine(3, 3_400))).toEqual([]);
  expect(lateVersions(activeLine(3, 2_900))).toEqual([]);
  expect(lateVersions(activeLine(2, 1_900), activeLine(3, 3_501))).toEqual([
    'version 3 is active at entry-1 after 2001 ms',
  ]);
  expect(lateVersions()).toHaveLength(2);
  expect(new VersionLedger().violations(APPLY_MS)).toHaveLength(1);
});
