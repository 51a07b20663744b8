import {waitForOk} from '@lilacledge/localstack';
import {sleep, systemClock} from '@lilacledge/shared';
import {describeAttempt, isSuccessful} from './attemptOutcome.js';
import {isCutByStop} from './cutByStop.js';
import type {Ledger} from './ledger.js';
import type {SoakFleet} from './soakFleet.js';
import type {SoakLoad} from './soakLoad.js';
import {GRACE_S} from './soakPrograms.js';

/** Time without faults during which nearly all requests must be served. */
const FAULT_FREE_MS = 3_000;

/** Largest share of the requests without faults that may stay unserved. */
const MAX_UNSERVED_SHARE = 0.02;

/** Time for an entry to restart after a graceful stop. */
const RESTART_MS = 1_500;

/** Endpoints keep serving for 3 s after they leave; requests that arrive then are recorded. */
const LEAVE_SETTLE_MS = 3_200;

/** Number of entries that are stopped gracefully at the end, one after the other. */
const MAX_STOPS = 4;

/** Checks that entries serve requests and the newest configuration once faults are over. */
export async function checkAfterFaults(
  fleet: SoakFleet,
  load: SoakLoad,
  ledger: Ledger,
): Promise<string[]> {
  const violations: string[] = [];
  const startMs = systemClock.nowMs();
  for (const entry of fleet.entries) {
    if (await load.serves(entry, fleet.version)) continue;
    violations.push(
      `${entry.program.node.name} lacks version ${fleet.version}`,
    );
  }
  await sleep(systemClock, FAULT_FREE_MS);
  const idle = fleet.readyRestarts.filter(({id, atMs}) =>
    ledger.isIdleSince(id, atMs),
  );
  violations.push(...idle.map(({id}) => `${id} restarted and got no work`));
  const recent = ledger.attempts.filter(({sentAtMs}) => sentAtMs >= startMs);
  const unserved = recent.filter((attempt) => !isSuccessful(attempt));
  const isServed = unserved.length <= recent.length * MAX_UNSERVED_SHARE;
  if (recent.length === 0 || !isServed) {
    const first = unserved.slice(0, 3).map(describeAttempt).join('; ');
    violations.push(
      `${unserved.length} of ${recent.length} unserved: ${first}`,
    );
  }
  return violations;
}

/** Lets endpoints leave; the ledger records a violation when they get work too late. */
export async function checkLeavingEndpoints(fleet: SoakFleet): Promise<void> {
  await fleet.leaveAfterWatchCut();
  await sleep(systemClock, LEAVE_SETTLE_MS);
}

/** Checks that graceful stops under load cut no answer off. */
export async function checkGracefulStops(
  fleet: SoakFleet,
  ledger: Ledger,
): Promise<string[]> {
  const violations: string[] = [];
  for (const {program, readyUrl} of fleet.entries.slice(0, MAX_STOPS)) {
    const stoppedAtMs = systemClock.nowMs();
    program.stopGracefully();
    await sleep(systemClock, GRACE_S * 1_000 + RESTART_MS);
    await waitForOk(readyUrl);
    const cut = ledger.attempts.filter((attempt) => {
      const isHere = attempt.entry === program.node.name;
      const wasOpen = attempt.endedAtMs >= stoppedAtMs;
      return isHere && wasOpen && isCutByStop(attempt, stoppedAtMs);
    });
    violations.push(
      ...cut.map((one) => `cut by a graceful stop: ${describeAttempt(one)}`),
    );
  }
  return violations;
}
