import {sleep, systemClock} from '@lilacledge/shared';
import type {Ledger} from './ledger.js';
import {readMetricSum} from './metricValues.js';
import type {SoakEntry} from './soakPrograms.js';

const COUNTER = 'lilacledge_retries_total';

const READ_INTERVAL_MS = 100;

/** Time after which an entry that doesn't answer is asked again. */
const READ_TIMEOUT_MS = 1_000;

/** Reads again and again how many retries each entry has counted, as a killed one can't be asked. */
export class RetryCounterWatch {
  private isStopped = false;
  private readonly tasks: Array<Promise<void>>;

  constructor(
    private readonly entries: readonly SoakEntry[],
    private readonly ledger: Ledger,
  ) {
    this.tasks = entries.map((entry) => this.watch(entry));
  }

  /** Ends the watch after a last reading of each entry. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.tasks);
    await Promise.all(this.entries.map((entry) => this.read(entry)));
  }

  private async watch(entry: SoakEntry): Promise<void> {
    while (!this.isStopped) {
      await this.read(entry);
      await sleep(systemClock, READ_INTERVAL_MS);
    }
  }

  /** Records a reading, unless the process ended meanwhile or didn't answer. */
  private async read({program, metricsUrl}: SoakEntry): Promise<void> {
    if (!program.isRunning) return;
    const {incarnation} = program;
    const atMs = systemClock.nowMs();
    const wallMs = systemClock.wallMs();
    const retries = await readMetricSum(metricsUrl, COUNTER, READ_TIMEOUT_MS);
    const isSame = program.isRunning && program.incarnation === incarnation;
    if (retries === undefined || !isSame) return;
    const entry = program.node.name;
    this.ledger.note({type: 'retryCounter', entry, atMs, wallMs, retries});
  }
}
