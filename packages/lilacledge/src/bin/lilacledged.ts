#!/usr/bin/env node
import {Command} from 'commander';
import {loadSettings} from '../loadSettings.js';
import {runEntry} from '../runEntry.js';
import {runSidecar} from '../runSidecar.js';

const program = new Command('lilacledged')
  .description('Runs one process of lilacledge.')
  .version('0.1.0');

program
  .command('entry')
  .description('ends callers’ connections and answers operators')
  .requiredOption('--config <file>', 'settings, JSON with comments')
  .action(async (options: {config: string}) => {
    await runEntry(loadSettings(options.config, 'entry'));
  });

program
  .command('sidecar')
  .description('stands before one engine or plain service')
  .requiredOption('--config <file>', 'settings, JSON with comments')
  .action(async (options: {config: string}) => {
    await runSidecar(loadSettings(options.config, 'sidecar'));
  });

program.parseAsync().catch((error: unknown) => {
  process.stderr.write(
    `${error instanceof Error ? error.message : String(error)}\n`,
  );
  process.exitCode = 1;
});
