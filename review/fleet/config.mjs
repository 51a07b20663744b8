/** The configuration of a small deployment. */
export const HOST = 'ficu95.example';
export const KEY = 'xd9dnn2ctnfzs989anu6';
export const TENANT = 'huka270';

export function config(version = 3, change = {}) {
  const route = {
    host: HOST,
    timeoutMs: 3_000,
    latencyGoalMs: 386,
    priority: 2,
    maxAttempts: 1,
  };
  const stream = {
    ...route,
    routeKind: 'streaming',
    service: 'drafting',
    sticky: true,
    itlTargetMs: 180,
  };
  return {
    version,
    routes: [
      {
        ...stream,
        name: 'terms',
        prefix: '/terms/',
        timeoutMs: 39_000,
        latencyGoalMs: 1_800,
        priority: 0,
      },
      {
        ...stream,
        name: 'check',
        prefix: '/check/',
        timeoutMs: 6_000,
        latencyGoalMs: 1_500,
        priority: 1,
      },
      {
        ...stream,
        name: 'resume',
        prefix: '/resume/',
        timeoutMs: 6_000,
        latencyGoalMs: 1_500,
        priority: 1,
        resumable: true,
        maxAttempts: 2,
      },
      {
        ...route,
        name: 'confirm',
        prefix: '/confirm/',
        routeKind: 'non_idempotent',
        service: 'booking',
      },
      {
        ...route,
        name: 'lookup',
        prefix: '/lookup/',
        routeKind: 'idempotent',
        service: 'booking',
        maxAttempts: 2,
      },
    ],
    services: [
      {
        name: 'drafting',
        healthPath: '/healthz',
        maxConns: 442,
        engine: {
          slots: 64,
          kvCapacity: 34_545,
          kvBytes: 18_432,
          linkMbps: 2_700,
          moves: true,
          backups: true,
          stride: 4,
        },
      },
      {name: 'booking', healthPath: '/healthz', maxConns: 110},
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: TENANT, apiKeys: [KEY], priority: 1}],
    ...change,
  };
}
