import {readFileSync} from 'node:fs';
import {LocalStack, waitFor, waitForOk} from '../index.js';
import type {SidecarProcess, StackProcess} from '../index.js';

/** The configuration that all tests with processes start from. */
export const CONFIG = readFileSync(
  new URL('../../configs/bayanihan.jsonc', import.meta.url),
  'utf8',
);

export interface SmallStack {
  readonly stack: LocalStack;
  readonly entries: readonly [StackProcess, StackProcess];
  readonly engines: readonly SidecarProcess[];
  readonly homes: readonly SidecarProcess[];
}

/** Two entries, two engines and two homes of a plain service. */
export async function startSmallStack(
  extra: Readonly<Record<string, unknown>> = {},
): Promise<SmallStack> {
  const stack = new LocalStack();
  try {
    return await startAll(stack, extra);
  } catch (error) {
    await stack.stop();
    throw error;
  }
}

async function startAll(
  stack: LocalStack,
  extra: Readonly<Record<string, unknown>>,
): Promise<SmallStack> {
  await stack.startPlatform();
  const slow = {stepBaseMs: 10};
  // All clocks are one here, so that a new grant takes new keys almost at once.
  const homeExtra = {slotRoundMs: 100, keySkewMs: 0, ...extra};
  const [engine1, engine2, home1, home2] = await Promise.all([
    stack.startEngineSidecar('engine-1', 'drafting-llm', 'clark', slow, extra),
    stack.startEngineSidecar('engine-2', 'drafting-llm', 'clark', slow, extra),
    stack.startPlainSidecar('home-1', 'booking-api', 'clark', homeExtra),
    stack.startPlainSidecar('home-2', 'booking-api', 'clark', homeExtra),
  ]);
  const entries = [
    await stack.startEntry('entry-1', 'clark', extra),
    await stack.startEntry('entry-2', 'clark', extra),
  ] as const;
  const made = {
    stack,
    entries,
    engines: [engine1, engine2],
    homes: [home1, home2],
  };
  await stack.operator(entries[0]).applyConfig({
    writeId: 'first',
    author: 'test',
    baseRevision: 0n,
    document: CONFIG,
  });
  await waitUntilServing(made);
  return made;
}

/** Waits until both entries see all endpoints serving and all slots owned. */
export async function waitUntilServing(small: SmallStack): Promise<void> {
  for (const entry of small.entries) {
    if (!entry.child.isRunning) continue;
    await waitForOk(`${entry.url}/readyz`);
    await waitFor('serving endpoints', async () => {
      const {endpoints} = await small.stack.operator(entry).getStatus({});
      const serving = endpoints.filter(({state}) => state === 'serving');
      const slots = serving.reduce((sum, row) => sum + row.slots, 0);
      return serving.length === 4 && slots === 24 ? true : undefined;
    });
  }
}

/** What a service says that it ran. */
export async function runsAt(
  homes: readonly SidecarProcess[],
): Promise<ReadonlyArray<{readonly body: string}>> {
  const lists = await Promise.all(
    homes.map(async ({endpointUrl}) => {
      const response = await fetch(`${endpointUrl}/runs`);
      return (await response.json()) as Array<{body: string}>;
    }),
  );
  return lists.flat();
}
