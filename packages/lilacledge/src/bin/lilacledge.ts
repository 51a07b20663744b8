#!/usr/bin/env node
import {Command} from 'commander';
import {addConfigCommands} from '../commands/configCommands.js';
import {ExitCode} from '../commands/exitCode.js';
import {addFleetCommands} from '../commands/fleetCommands.js';

const program = new Command('lilacledge')
  .description('Manages a lilacledge deployment through one of its entries.')
  .version('0.1.0')
  .option('--entry <url>', 'URL of an entry', 'http://127.0.0.1:8080')
  .option('--key-file <file>', 'file that holds the operator key')
  .option('--json', 'print JSON');

addConfigCommands(program);
addFleetCommands(program);

program.parseAsync().catch((error: unknown) => {
  process.stderr.write(
    `${error instanceof Error ? error.message : String(error)}\n`,
  );
  process.exitCode = ExitCode.FAILED;
});
