import type {Command} from 'commander';
import {ExitCode} from './exitCode.js';
import {createOperatorClient} from './operatorClient.js';
import type {ConnectionOptions} from './operatorClient.js';
import {createOutput} from './output.js';

/** Adds `status`, `drain` and `explain`. */
export function addFleetCommands(program: Command): void {
  program
    .command('status')
    .description('shows the endpoints as one entry sees them')
    .action(() => status(program));
  program
    .command('drain <instance>')
    .description('makes an endpoint refuse new work and finish what it has')
    .option('--reason <text>', 'noted in the log', 'operator')
    .action((instance: string, options: {reason: string}) =>
      drain(program, instance, options.reason),
    );
  program
    .command('explain <request>')
    .description('lists the decisions that an entry took about a request')
    .action((request: string) => explain(program, request));
}

async function status(program: Command): Promise<void> {
  const client = createOperatorClient(program.opts<ConnectionOptions>());
  const response = await client.getStatus({});
  const output = outputOf(program);
  output.say(
    `${response.instanceId} (${response.zone}): revision ${response.revision}, ` +
      `${response.openRequests} open requests`,
  );
  if (response.storeBehindBy > 0n) {
    output.say(`The store is ${response.storeBehindBy} revisions behind.`);
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
    ? `${instanceId} was told to drain.`
    : `This entry has no link to ${instanceId}.`;
  outputOf(program).value({sent}, text);
  if (!sent) process.exitCode = ExitCode.FAILED;
}

async function explain(program: Command, requestId: string): Promise<void> {
  const client = createOperatorClient(program.opts<ConnectionOptions>());
  const {decisions} = await client.explainRequest({requestId});
  outputOf(program).rows(
    decisions.map((decision) => ({
      at: new Date(Number(decision.atUnixMs)).toISOString(),
      what: decision.what,
      detail: decision.detail,
    })),
  );
  if (decisions.length === 0) process.exitCode = ExitCode.FAILED;
}

function outputOf(program: Command) {
  return createOutput(program.opts<{json?: boolean}>().json === true);
}
