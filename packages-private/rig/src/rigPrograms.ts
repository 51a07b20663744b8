import {entrySettingsSchema, sidecarSettingsSchema} from '@lilacledge/config';
import {createEntry} from '@lilacledge/entry';
import type {MemoryNetwork} from '@lilacledge/protocol';
import type {Random} from '@lilacledge/shared';
import {createSidecar} from '@lilacledge/sidecar';
import type {EndpointPort} from '@lilacledge/sidecar';
import type {MemoryPlatform} from '@lilacledge/standins';
import {createConfigStore} from '@lilacledge/store';
import {createMetrics, silentTracer} from '@lilacledge/telemetry';
import type {Logger} from '@lilacledge/telemetry';
import {createMemoryEngine} from './memoryEngine.js';
import {createMemoryPlain} from './memoryPlain.js';
import {commonSettings} from './rigConfig.js';
import type {RigEntry, RigProcess, RigSidecar} from './rigTypes.js';

const OPERATOR_KEY = 'rig-operator-key-0123456789';

/** What the programs of a rig share. */
export interface RigWorld {
  readonly network: MemoryNetwork;
  readonly platform: MemoryPlatform;
  readonly random: Random;
  readonly logger: Logger;
}

/** Creates an entry that runs in a process. */
export function createRigEntry(
  {platform, random, network, logger}: RigWorld,
  process: RigProcess,
  zone: string,
  extraSettings: Readonly<Record<string, unknown>>,
): RigEntry {
  const settings = entrySettingsSchema.parse({
    role: 'entry',
    ...commonSettings(process, zone),
    operatorKey: OPERATOR_KEY,
    ...extraSettings,
  });
  const entry = createEntry(
    {
      clock: process.clock,
      random,
      configStore: createConfigStore(platform.store, process.clock),
      membership: platform.membership,
      dialer: network,
      logger,
      metrics: createMetrics(false),
      tracer: silentTracer,
    },
    settings,
  );
  return {...process, entry, connectedCallers: new Set()};
}

/** Starts a sidecar in its process, at its address. */
export function startSidecar(
  {platform, random, network, logger}: RigWorld,
  target: RigSidecar,
): void {
  const settings = sidecarSettingsSchema.parse({
    role: 'sidecar',
    ...commonSettings(target, target.zone),
    service: target.service,
    endpoint: {
      kind: target.engine === undefined ? 'plain' : 'engine',
      url: 'http://127.0.0.1:1',
    },
    ...target.extraSettings,
  });
  const sidecar = createSidecar(
    {
      clock: target.clock,
      random,
      store: platform.store,
      endpoint: createEndpointPort(target),
      logger,
      metrics: createMetrics(false),
      tracer: silentTracer,
    },
    settings,
  );
  target.sidecar = sidecar;
  network.listen(target.address, (link) => void sidecar.serve(link));
  sidecar.start();
}

function createEndpointPort(target: RigSidecar): EndpointPort {
  return target.engine !== undefined
    ? {kind: 'engine', engine: createMemoryEngine(target.engine)}
    : {
        kind: 'plain',
        plain: createMemoryPlain(target.plain!, target.plainFaults),
      };
}
