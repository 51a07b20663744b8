import {uptime} from 'node:os';
import {SuspensionClock} from './suspensionClock.js';

const MS_PER_S = 1_000;

/** The clock of the operating system. */
export const systemClock = new SuspensionClock({
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
  bootMs: readBootMs,
  after(delayMs, task) {
    const timer = setTimeout(task, delayMs);
    return () => clearTimeout(timer);
  },
});

/** Includes suspensions; the resolution is 10 ms on Linux. */
function readBootMs(): number | undefined {
  try {
    return uptime() * MS_PER_S;
  } catch {
    // The next gap is then reported with the kind `unknown`.
    return undefined;
  }
}
