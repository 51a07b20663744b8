import {createHash} from 'node:crypto';
import type {RigProcess} from './rigTypes.js';

/** API key of an organisation on a rig. */
export function rigApiKey(organisationId: string): string {
  return `key-${organisationId}`;
}

/** A configuration with one model service and one plain service. */
export function rigConfig(
  policy: Readonly<Record<string, unknown>> = {},
  organisations: readonly string[] = ['clark-yard', 'calamba-yard'],
): unknown {
  return {
    services: {
      'drafting-llm': {kind: 'model', models: ['drafting-1'], policy},
      'booking-api': {kind: 'plain'},
    },
    organisations: organisations.map((id) => ({
      id,
      apiKeySha256: [createHash('sha256').update(rigApiKey(id)).digest('hex')],
      limits: {concurrent: 100_000, tokensPerMinute: 1_000_000_000},
    })),
    routes: [
      {organisations: ['*'], service: 'drafting-llm'},
      {organisations: ['*'], service: 'booking-api'},
    ],
  };
}

/** Key that authenticates links; all processes of a rig share it. */
const LINK_KEY = 'rig-link-key-0123456789';

/** Settings that entries and sidecars of a rig have in common. */
export function commonSettings(
  process: RigProcess,
  zone: string,
): unknown & object {
  return {
    instanceId: process.instanceId,
    zone,
    ...process.address,
    platform: {
      keyValueUrl: 'http://127.0.0.1:1',
      membershipUrl: 'http://127.0.0.1:1',
    },
    linkKey: LINK_KEY,
  };
}
