import {Rig, rigConfig} from '@lilacledge/rig';
import type {PolicySettings} from '@lilacledge/config';
import type {EngineConstants} from '@lilacledge/standins';

/** Replicas of a model, as in both deployments that the workloads imitate. */
export const ENGINE_COUNT = 6;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];

export interface FleetOptions {
  readonly entries: number;
  readonly seed: number;
  readonly organisations: readonly string[];
  readonly policy: Partial<PolicySettings>;
  readonly constants?: Partial<EngineConstants>;
}

/** Creates a rig with one model service of six engines that is ready for calls. */
export async function createFleet(options: FleetOptions): Promise<Rig> {
  const rig = new Rig({seed: options.seed});
  for (let index = 0; index < ENGINE_COUNT; index++) {
    rig.addEngine(
      `engine-${index + 1}`,
      'drafting-llm',
      zoneAt(index),
      options.constants,
    );
  }
  for (let index = 0; index < options.entries; index++) {
    rig.addEntry(`entry-${index + 1}`, zoneAt(index));
  }
  await rig.applyConfig(rigConfig(options.policy, options.organisations));
  await rig.settle();
  return rig;
}

function zoneAt(index: number): string {
  return ZONES[index % ZONES.length]!;
}
