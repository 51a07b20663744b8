import {
  LocalStack,
  localApiKeyHash,
  waitFor,
  waitForOk,
} from '@lilacledge/localstack';
import type {SidecarProcess, StackProcess} from '@lilacledge/localstack';
import type {EngineConstants} from '@lilacledge/standins';

/** A fleet of real processes on loopback; all sidecars share one engine. */
export interface LocalFleet {
  readonly stack: LocalStack;
  readonly entries: readonly StackProcess[];
  readonly sidecars: readonly SidecarProcess[];
  readonly engineUrl: string;
}

export interface LocalFleetOptions {
  readonly entries: number;
  readonly sidecars: number;
  readonly organisations: number;
  readonly constants: Partial<EngineConstants>;
}

/** Name of the only model that a local fleet serves. */
export const FLEET_MODEL = 'model-1';

/** An engine of almost no cost, so that results show the cost of lilacledge. */
export const FAST_ENGINE: Partial<EngineConstants> = {
  stepBaseMs: 20,
  stepPerSequenceMs: 0,
  promptTokensPerMs: 1_000,
  memoryTokens: 50_000_000,
  maxBatch: 4_096,
};

const START_GROUP_SIZE = 8;

/** Starts all processes of a fleet and waits until its links are open. */
export async function startLocalFleet(
  options: LocalFleetOptions,
): Promise<LocalFleet> {
  const stack = new LocalStack();
  try {
    return await startProcesses(stack, options);
  } catch (error) {
    await stack.stop();
    throw error;
  }
}

async function startProcesses(
  stack: LocalStack,
  options: LocalFleetOptions,
): Promise<LocalFleet> {
  await stack.startPlatform();
  const engine = await stack.startEngine('engine', options.constants);
  const sidecars = await startInGroups(options.sidecars, (index) =>
    stack.startSidecarForEngine(`sidecar-${index}`, 'llm', 'zone-a', engine),
  );
  const entries = await startInGroups(options.entries, (index) =>
    stack.startEntry(`entry-${index}`, 'zone-a', {linksPerService: 4_096}),
  );
  const fleet = {stack, entries, sidecars, engineUrl: engine.url};
  await applyOrganisations(fleet, options.organisations, 0);
  await waitForLinks(fleet);
  return fleet;
}

/** Applies a configuration with the given number of organisations; returns its revision. */
export async function applyOrganisations(
  fleet: LocalFleet,
  organisations: number,
  baseRevision: number,
): Promise<number> {
  const result = await fleet.stack.operator(fleet.entries[0]!).applyConfig({
    writeId: `write-${baseRevision}-${organisations}`,
    author: 'measure',
    baseRevision: BigInt(baseRevision),
    document: JSON.stringify(createConfig(organisations, baseRevision)),
  });
  return Number(result.revision);
}

/** Waits until every entry has a link to every sidecar. */
export async function waitForLinks(fleet: LocalFleet): Promise<void> {
  for (const entry of fleet.entries) {
    await waitForOk(`${entry.url}/readyz`);
    await waitFor(
      'links',
      async () => {
        const {endpoints} = await fleet.stack.operator(entry).getStatus({});
        const open = endpoints.filter(({state}) => state === 'serving');
        return open.length === fleet.sidecars.length ? true : undefined;
      },
      60_000,
    );
  }
}

function createConfig(organisations: number, baseRevision: number): unknown {
  return {
    services: {llm: {kind: 'model', models: [FLEET_MODEL]}},
    organisations: Array.from({length: organisations}, (_, index) => ({
      id: `organisation-${index}`,
      apiKeySha256: [localApiKeyHash(`organisation-${index}`)],
      // Only the first organisation changes between revisions: a small change.
      priority: index === 0 ? baseRevision % 10 : 5,
      limits: {concurrent: 100_000, tokensPerMinute: 1_000_000_000},
    })),
    routes: [{organisations: ['*'], service: 'llm'}],
  };
}

/** Starts processes in groups, so that few of them start at the same time. */
async function startInGroups<T>(
  count: number,
  start: (index: number) => Promise<T>,
): Promise<T[]> {
  const started: T[] = [];
  for (let from = 0; from < count; from += START_GROUP_SIZE) {
    const size = Math.min(START_GROUP_SIZE, count - from);
    const group = Array.from({length: size}, (_, index) => start(from + index));
    started.push(...(await Promise.all(group)));
  }
  return started;
}
