import {Rig, rigConfig} from '@lilacledge/rig';
import type {PolicySettings} from '@lilacledge/config';
import type {EngineConstants} from '@lilacledge/standins';

/** Replicas of a model in both deployments of today. */
export const ENGINES = 6;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];

export interface FleetOptions {
  readonly entries: number;
  readonly seed: number;
  readonly organisations: readonly string[];
  readonly policy: Partial<PolicySettings>;
  readonly constants?: Partial<EngineConstants>;
}

/** A rig with one model service of six engines, ready to be called. */
export async function createFleet(options: FleetOptions): Promise<Rig> {
  const rig = new Rig({seed: options.seed});
  for (let index = 0; index < ENGINES; index++) {
    rig.addEngine(
      `engine-${index + 1}`,
      'drafting-llm',
      zoneOf(index),
      options.constants,
    );
  }
  for (let index = 0; index < options.entries; index++) {
    rig.addEntry(`entry-${index + 1}`, zoneOf(index));
  }
  await rig.applyConfig(rigConfig(options.policy, options.organisations));
  await rig.settle();
  return rig;
}

function zoneOf(index: number): string {
  return ZONES[index % ZONES.length]!;
}
