import {sleep} from '@lilacledge/shared';
import type {Clock} from '@lilacledge/shared';

/** One run of a call, as the service records it. */
export interface PlainRun {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/**
 * Model of a plain booking service. It runs every call it receives, repeated
 * ones too, and records each run, so that tests can check how often a call ran.
 */
export class PlainModel {
  readonly runs: PlainRun[] = [];
  delayMs = 0;

  constructor(private readonly clock: Clock) {}

  async run(run: PlainRun): Promise<{status: number; body: string}> {
    this.runs.push(run);
    const number = this.runs.length;
    if (this.delayMs > 0) await sleep(this.clock, this.delayMs);
    const body = JSON.stringify({booking: number, requestId: run.requestId});
    return {status: run.method === 'POST' ? 201 : 200, body};
  }
}
