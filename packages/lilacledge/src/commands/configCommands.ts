import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {userInfo} from 'node:os';
import {
  fleetConfigSchema,
  formatIssues,
  parseDocument,
  processSettingsSchema,
} from '@lilacledge/config';
import {ApplyOutcome} from '@lilacledge/operator-api';
import type {ApplyConfigResponse, ConfigChange} from '@lilacledge/operator-api';
import type {Command} from 'commander';
import {ExitCode} from './exitCode.js';
import {formatTime} from './formatTime.js';
import {createOperatorClient} from './operatorClient.js';
import type {ConnectionOptions} from './operatorClient.js';
import {createOutput} from './output.js';
import type {Output} from './output.js';

interface ApplyOptions {
  readonly base?: string;
  readonly writeId?: string;
  readonly author?: string;
}

/** Adds `lilacledge config …`. */
export function addConfigCommands(program: Command): void {
  const config = program
    .command('config')
    .description('reads and changes the configuration');
  config
    .command('check <file>')
    .description('validates a configuration or settings file offline')
    .action((file: string) => check(program, file));
  config
    .command('apply <file>')
    .description('applies a configuration')
    .option('--base <revision>', 'revision that the file is based on')
    .option(
      '--write-id <id>',
      'id of an earlier attempt whose outcome is unknown',
    )
    .option('--author <name>', 'author recorded in the history')
    .action((file: string, options: ApplyOptions) =>
      apply(program, file, options),
    );
  config
    .command('get')
    .description('prints the active configuration')
    .option(
      '--revision <number>',
      'revision to print; 0 is the active one',
      '0',
    )
    .action((options: {revision: string}) => get(program, options.revision));
  config
    .command('history')
    .description('lists recent changes, newest first')
    .action(() => history(program));
  config
    .command('diff <file>')
    .description('lists the changes that applying a file would make')
    .action((file: string) => diff(program, file));
  config
    .command('restore')
    .description(
      'writes the active configuration over a store restored to an older state',
    )
    .action(() => restore(program));
}

function check(program: Command, file: string): void {
  const text = readFileSync(file, 'utf8');
  const isSettings = /"role"\s*:/.test(text);
  const parsed = isSettings
    ? parseDocument(text, processSettingsSchema)
    : parseDocument(text, fleetConfigSchema);
  if (parsed.ok) {
    outputOf(program).value({ok: true}, `${file} is valid.`);
    return;
  }
  outputOf(program).value(
    {ok: false, issues: parsed.issues},
    formatIssues(file, parsed.issues),
  );
  process.exitCode = ExitCode.INVALID;
}

async function apply(
  program: Command,
  file: string,
  options: ApplyOptions,
): Promise<void> {
  const client = createOperatorClient(program.opts<ConnectionOptions>());
  const writeId = options.writeId ?? randomUUID();
  const base = options.base ?? (await client.getStatus({})).revision.toString();
  const response = await client.applyConfig({
    writeId,
    author: options.author ?? userInfo().username,
    baseRevision: BigInt(base),
    document: readFileSync(file, 'utf8'),
  });
  printApplyResult(outputOf(program), response, writeId);
}

async function restore(program: Command): Promise<void> {
  const client = createOperatorClient(program.opts<ConnectionOptions>());
  const writeId = randomUUID();
  const author = userInfo().username;
  const response = await client.restoreConfig({writeId, author});
  printApplyResult(outputOf(program), response, writeId);
}

function printApplyResult(
  output: Output,
  response: ApplyConfigResponse,
  writeId: string,
): void {
  const {outcome, revision, detail, changedParts, newestChange} = response;
  const summary = {
    outcome: ApplyOutcome[outcome],
    revision: Number(revision),
    detail,
    changedParts,
    writeId,
    newestChange: newestChange === undefined ? null : historyRow(newestChange),
  };
  switch (outcome) {
    case ApplyOutcome.APPLIED:
      output.value(summary, `Applied as revision ${revision}.`);
      return;
    case ApplyOutcome.CONFLICT:
      output.value(
        summary,
        `Conflict: ${newestChange?.author ?? 'an unknown author'} wrote revision ${revision} first. ` +
          `It differs from your file in: ${changedParts.join(', ') || 'nothing'}.`,
      );
      process.exitCode = ExitCode.CONFLICT;
      return;
    case ApplyOutcome.UNKNOWN:
      output.value(
        summary,
        `Unknown outcome, the change may have been applied: ${detail}. ` +
          `Retry with: config apply FILE --write-id ${writeId}`,
      );
      process.exitCode = ExitCode.UNKNOWN;
      return;
    case ApplyOutcome.STORE_BEHIND:
      output.value(summary, `Not applied: ${detail}.`);
      process.exitCode = ExitCode.STORE_BEHIND;
      return;
    case ApplyOutcome.NOT_APPLIED:
    case ApplyOutcome.UNSPECIFIED:
      output.value(summary, `Not applied: ${detail}.`);
      process.exitCode = ExitCode.FAILED;
  }
}

async function get(program: Command, revision: string): Promise<void> {
  const client = createOperatorClient(program.opts<ConnectionOptions>());
  const response = await client.getConfig({revision: BigInt(revision)});
  process.stdout.write(`${response.document}\n`);
}

async function history(program: Command): Promise<void> {
  const client = createOperatorClient(program.opts<ConnectionOptions>());
  const response = await client.listHistory({});
  outputOf(program).rows(response.changes.map(historyRow));
}

async function diff(program: Command, file: string): Promise<void> {
  const parsed = parseDocument(readFileSync(file, 'utf8'), fleetConfigSchema);
  if (!parsed.ok) throw new Error(formatIssues(file, parsed.issues));
  const client = createOperatorClient(program.opts<ConnectionOptions>());
  const response = await client.getConfig({revision: 0n});
  const rows = diffRows(JSON.parse(response.document), parsed.value);
  outputOf(program).rows(rows);
}

type DiffRow = Readonly<{change: string; what: string}>;

function diffRows(
  before: Record<string, unknown>,
  after: Record<string, unknown>,
): DiffRow[] {
  const oldValues = flattenByPath(before);
  const newValues = flattenByPath(after);
  const rows: DiffRow[] = [];
  for (const [path, text] of newValues) {
    const oldText = oldValues.get(path);
    if (oldText === undefined) {
      rows.push({change: 'add', what: `${path} = ${text}`});
    } else if (oldText !== text) {
      rows.push({change: 'set', what: `${path}: ${oldText} -> ${text}`});
    }
  }
  for (const path of oldValues.keys()) {
    if (!newValues.has(path)) rows.push({change: 'remove', what: path});
  }
  return rows;
}

function flattenByPath(value: unknown, path = ''): Map<string, string> {
  if (typeof value !== 'object' || value === null) {
    return new Map([[path, JSON.stringify(value)]]);
  }
  const entries = Object.entries(value).map(([key, child]) => {
    const id = (child as {id?: string} | null)?.id;
    return flattenByPath(child, `${path}${path === '' ? '' : '.'}${id ?? key}`);
  });
  return new Map(entries.flatMap((map) => [...map]));
}

function historyRow(change: ConfigChange) {
  return {
    revision: Number(change.revision),
    author: change.author,
    at: formatTime(change.atUnixMs),
    writeId: change.writeId,
  };
}

function outputOf(program: Command): Output {
  return createOutput(program.opts<{json?: boolean}>().json === true);
}
