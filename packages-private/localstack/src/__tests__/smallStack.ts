import {readFileSync} from 'node:fs';
import {LocalStack, waitFor, waitForOk} from '../index.js';
import type {SidecarProcess, StackProcess} from '../index.js';

/** The configuration document that `startSmallStack` applies. */
export const CONFIG = readFileSync(
  new URL('../../configs/bayanihan.jsonc', import.meta.url),
  'utf8',
);

export interface SmallStack {
  readonly stack: LocalStack;
  readonly entries: readonly [StackProcess, StackProcess];
  readonly engines: readonly SidecarProcess[];
  readonly plainSidecars: readonly SidecarProcess[];
}

/** Starts two entries, two engines and two endpoints of a plain service. */
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
  const slowEngine = {stepBaseMs: 10};
  // All processes share one clock, so no clock skew has to pass before a new
  // slot grant accepts new keys.
  const plainExtra = {slotRoundMs: 100, keySkewMs: 0, ...extra};
  const [engine1, engine2, plain1, plain2] = await Promise.all([
    stack.startEngineSidecar(
      'engine-1',
      'drafting-llm',
      'clark',
      slowEngine,
      extra,
    ),
    stack.startEngineSidecar(
      'engine-2',
      'drafting-llm',
      'clark',
      slowEngine,
      extra,
    ),
    stack.startPlainSidecar('home-1', 'booking-api', 'clark', plainExtra),
    stack.startPlainSidecar('home-2', 'booking-api', 'clark', plainExtra),
  ]);
  const entries = [
    await stack.startEntry('entry-1', 'clark', extra),
    await stack.startEntry('entry-2', 'clark', extra),
  ] as const;
  const made = {
    stack,
    entries,
    engines: [engine1, engine2],
    plainSidecars: [plain1, plain2],
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

/**
 * Waits until each running entry sees all endpoints serving and all key slots
 * owned.
 */
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

/** Returns the runs that the endpoints of a plain service have recorded. */
export async function recordedRuns(
  sidecars: readonly SidecarProcess[],
): Promise<ReadonlyArray<{readonly body: string}>> {
  const lists = await Promise.all(
    sidecars.map(async ({endpointUrl}) => {
      const response = await fetch(`${endpointUrl}/runs`);
      return (await response.json()) as Array<{body: string}>;
    }),
  );
  return lists.flat();
}
