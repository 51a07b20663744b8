#!/usr/bin/env node
import {Command} from 'commander';
import {loadSettings} from '../loadSettings.js';
import {runEntry} from '../runEntry.js';
import {runSidecar} from '../runSidecar.js';

const program = new Command('lilacledged')
  .description('Runs a lilacledge process: an entry or a sidecar.')
  .version('0.1.0');

program
  .command('entry')
  .description('accepts callers’ connections and serves the operator API')
  .requiredOption('--config <file>', 'settings file (JSON with comments)')
  .action(async (options: {config: string}) => {
    await runEntry(loadSettings(options.config, 'entry'));
  });

program
  .command('sidecar')
  .description('serves one engine or plain service to the entries')
  .requiredOption('--config <file>', 'settings file (JSON with comments)')
  .action(async (options: {config: string}) => {
    await runSidecar(loadSettings(options.config, 'sidecar'));
  });

program.parseAsync().catch((error: unknown) => {
  process.stderr.write(
    `${error instanceof Error ? error.message : String(error)}\n`,
  );
  // What was started before the failure would keep the process running.
  process.exit(1);
});
