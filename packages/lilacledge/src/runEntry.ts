import type {EntrySettings} from '@lilacledge/config';
import {createEntry, createEntryServer} from '@lilacledge/entry';
import {createConfigStore, createHttpMembership} from '@lilacledge/store';
import {createWsDialer} from '@lilacledge/protocol';
import {systemClock} from '@lilacledge/shared';
import {createProcessResources, listen, onTerminate} from './runProcess.js';

const LINK_HANDSHAKE_TIMEOUT_MS = 2_000;

/** Runs an entry until SIGTERM or SIGINT. */
export async function runEntry(settings: EntrySettings): Promise<void> {
  const resources = await createProcessResources(settings);
  const logger = resources.logger.part('members');
  const entry = createEntry(
    {
      clock: systemClock,
      random: Math.random,
      configStore: createConfigStore(resources.store, systemClock),
      membership: createHttpMembership({
        url: settings.platform.membershipUrl,
        requestTimeoutMs: settings.platform.requestTimeoutMs,
        refused: (problem) =>
          logger.warn('A row of the membership list was left out.', {problem}),
      }),
      dialer: createWsDialer(LINK_HANDSHAKE_TIMEOUT_MS),
      logger: resources.logger,
      metrics: resources.metrics,
      tracer: resources.tracer,
    },
    settings,
  );
  const server = createEntryServer(entry);
  const {host, port: wanted} = settings;
  const port = await listen(server, host, wanted, resources.logger);
  resources.logger.info('Entry is listening.', {port});
  onTerminate(resources, server, () => entry.shutdown());
}
