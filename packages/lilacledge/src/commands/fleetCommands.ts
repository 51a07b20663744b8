import {createReadStream} from 'node:fs';
import type {Command} from 'commander';
import {readLogLines} from '../explain/logLines.js';
import type {LogLine} from '../explain/logLines.js';
import {buildRequestTimeline} from '../explain/requestTimeline.js';
import {ExitCode} from './exitCode.js';
import {formatTime} from './formatTime.js';
import {createOperatorClient} from './operatorClient.js';
import type {ConnectionOptions} from './operatorClient.js';
import {createOutput} from './output.js';

/** Adds the commands `status`, `drain` and `explain`. */
export function addFleetCommands(program: Command): void {
  program
    .command('status')
    .description('shows the state of the endpoints as known to one entry')
    .action(() => status(program));
  program
    .command('drain <instance>')
    .description(
      'makes an endpoint reject new work and finish its running work',
    )
    .option('--reason <text>', 'recorded in the log', 'operator')
    .action((instance: string, options: {reason: string}) =>
      drain(program, instance, options.reason),
    );
  program
    .command('explain <request> [files...]')
    .description(
      'lists the decisions about a request: those an entry still keeps, or ' +
        'those in log files ("-" is standard input)',
    )
    .action((request: string, files: string[]) =>
      files.length === 0
        ? explain(program, request)
        : explainFromLogs(request, files),
    );
}

async function status(program: Command): Promise<void> {
  const client = createOperatorClient(program.opts<ConnectionOptions>());
  const response = await client.getStatus({});
  const output = outputOf(program);
  output.info(
    `${response.instanceId} (${response.zone}): revision ${response.revision}, ` +
      `${response.openRequests} open requests`,
  );
  if (response.storeBehindBy > 0n) {
    output.info(`The store is ${response.storeBehindBy} revisions behind.`);
  }
  output.rows(
    response.endpoints.map((endpoint) => ({
      endpoint: endpoint.instanceId,
      service: endpoint.service,
      zone: endpoint.zone,
      state: endpoint.state,
      running: endpoint.running,
      queued: endpoint.queued,
      memory: `${Math.round(endpoint.memoryShare * 100)}%`,
      waitMs: Math.round(endpoint.predictedWaitMs),
      slots: endpoint.slots,
    })),
  );
}

async function drain(
  program: Command,
  instanceId: string,
  reason: string,
): Promise<void> {
  const client = createOperatorClient(program.opts<ConnectionOptions>());
  const {sent} = await client.drainEndpoint({instanceId, reason});
  const text = sent
    ? `Drain request sent to ${instanceId}.`
    : `This entry has no link to ${instanceId}.`;
  outputOf(program).value({sent}, text);
  if (!sent) process.exitCode = ExitCode.FAILED;
}

async function explain(program: Command, requestId: string): Promise<void> {
  const client = createOperatorClient(program.opts<ConnectionOptions>());
  const {decisions} = await client.explainRequest({requestId});
  outputOf(program).rows(
    decisions.map((decision) => ({
      at: formatTime(decision.atUnixMs),
      what: decision.what,
      detail: decision.detail,
    })),
  );
  if (decisions.length === 0) process.exitCode = ExitCode.FAILED;
}

function outputOf(program: Command) {
  return createOutput(program.opts<{json?: boolean}>().json === true);
}

/** Prints a request's timeline from the logs of any number of processes. */
async function explainFromLogs(
  request: string,
  files: readonly string[],
): Promise<void> {
  const lines: LogLine[] = [];
  for (const file of files) {
    const stream = file === '-' ? process.stdin : createReadStream(file);
    lines.push(...(await readLogLines(stream)));
  }
  const steps = buildRequestTimeline(request, lines);
  if (steps.length === 0) {
    process.stderr.write(
      `No log line mentions request ${request}; ${lines.length} lines read.\n`,
    );
    process.exitCode = ExitCode.FAILED;
    return;
  }
  process.stdout.write(`${steps.join('\n')}\n`);
}
