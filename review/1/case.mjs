/**
 * Open connections to the store go silent while one of two entries is frozen, and the
 * configuration changes. From `contactMs` after that on, and later than `configApplyMs` after the
 * acknowledgement, the new version must hold at the entry that runs.
 */
import {HOST, send} from '../lib/client.mjs';
import {SilencingProxy} from '../lib/proxy.mjs';
import {ServiceReplica} from '../lib/service.mjs';
import {Store} from '../lib/store.mjs';
import {
  freePortPair,
  freePorts,
  runCase,
  settingsText,
  sleep,
  waitFor,
  ZONE,
} from '../lib/tools.mjs';

/** False with TROUBLE=0: the same without the disruption, which must pass. */
const hasTrouble = process.env.TROUBLE !== '0';

/** What was sent, answered and run. */
const RECORD = new URL('record.txt', import.meta.url);

const CONTACT_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;

/** Added to both bounds, for the inexact timers of this script. */
const MARGIN_MS = 100;

/** The operator changes the configuration so long after the connections went silent. */
const CHANGE_AFTER_MS = 200;

/** Requests are sent for so long after the bounds have passed. */
const PROBED_MS = 5_000;
const PROBE_INTERVAL_MS = 100;

const OLD_KEY = 'key-taken-away';
const KEPT_KEY = 'key-kept';
const [RUNNING, FROZEN] = ['edge-perth-a-1', 'edge-perth-a-2'];
const ENTRIES = [RUNNING, FROZEN];

/**
 * A replica is added so long after the running entry asked for changes of the configuration. The
 * entry asks for changes of replicas again 0.6 s later, and for those of the configuration 1.8 s
 * after its last question. The connections go silent right after that one.
 */
const REPLICA_ADDED_AFTER_MS = 1_080;

/** Version 1 routes to `desk-old`; version 2 to `desk-new`, and a key is taken away. */
function config(version, service, apiKeys) {
  return {
    version,
    routes: [
      {
        name: 'r-look',
        host: HOST,
        prefix: '/look/',
        routeKind: 'idempotent',
        timeoutMs: 3_000,
        latencyGoalMs: 386,
        priority: 0,
        service,
        maxAttempts: 2,
        anonymous: false,
      },
    ],
    services: ['desk-old', 'desk-new'].map((name) => ({
      name,
      healthPath: '/healthz',
      maxConns: 110,
      protocol: 'h1',
      tls: false,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'yard', apiKeys, priority: 1}],
  };
}

await runCase(RECORD, async ({programs, record, cleanups}) => {
  const [storePort, addedPort, ...ports] = await freePorts(
    2 + 2 + 4 * ENTRIES.length,
  );
  const store = new Store(storePort);
  cleanups.push(() => store.close());
  const replicas = ['desk-old', 'desk-new'].map(
    (service, index) =>
      new ServiceReplica({
        id: `i-${service}`,
        port: ports[index],
        service,
        record,
      }),
  );
  const [oldReplica, newReplica] = replicas;
  for (const replica of replicas) {
    cleanups.push(() => replica.close());
    store.put(`servers/${replica.id}`, replica.beat(ZONE));
  }
  store.put('op/config', config(1, 'desk-old', [OLD_KEY, KEPT_KEY]));

  let onConfigWatch = () => {};
  const entries = ENTRIES.map((name, index) => {
    const [frontendPort, readinessPort, controlPort, proxyPort] = ports.slice(
      2 + 4 * index,
      6 + 4 * index,
    );
    const proxy = new SilencingProxy(proxyPort, storePort, (bytes) => {
      const head = bytes.toString('latin1', 0, 200);
      const isConfigWatch = head.startsWith('GET /v1/kv-watch?prefix=op');
      if (isConfigWatch && name === RUNNING) onConfigWatch();
    });
    cleanups.push(() => proxy.close());
    return {name, frontendPort, readinessPort, controlPort, proxyPort, proxy};
  });
  const children = new Map();
  for (const entry of entries) {
    const settings = settingsText({
      ...entry,
      role: 'entry',
      firstPort: await freePortPair(),
      seeds: entries.map(({controlPort}) => controlPort),
      storePort: entry.proxyPort,
    });
    children.set(entry.name, programs.start('entry', entry.name, settings));
  }
  let sent = 0;
  const ask = (entry, key, kind) =>
    send(entry.frontendPort, '/look/1', {
      id: `${kind}-${entry.name.at(-1)}-${++sent}`,
      key,
      headers: {'x-deadline-ms': '3000'},
      record,
      timeoutMs: 3_000,
    });
  for (const entry of entries) {
    await waitFor(`${entry.name} serves`, async () => {
      const answer = await ask(entry, OLD_KEY, 'warm');
      return answer.status === 200;
    });
  }
  // The steady state: registrations have been renewed, connections lie idle.
  await sleep(8_000);

  const nextConfigWatch = () =>
    new Promise((resolve) => {
      onConfigWatch = resolve;
    });
  await nextConfigWatch();
  await sleep(REPLICA_ADDED_AFTER_MS);
  const added = new ServiceReplica({
    id: 'i-desk-new-2',
    port: addedPort,
    service: 'desk-new',
    record,
  });
  cleanups.push(() => added.close());
  store.put(`servers/${added.id}`, added.beat(ZONE));
  record.note(`replica ${added.id} is added`);
  await nextConfigWatch();
  const silentAtMs = record.nowMs;
  if (hasTrouble) {
    children.get(FROZEN).kill('SIGSTOP');
    record.note(`${FROZEN} is frozen`);
    const counts = entries.map(({proxy}) => proxy.silence());
    record.note(`open connections to the store go silent: ${counts}`);
  }
  await sleep(CHANGE_AFTER_MS);
  store.put('op/config', config(2, 'desk-new', [KEPT_KEY]));
  const acknowledgedAtMs = record.nowMs;
  record.note('version 2 of the configuration is acknowledged');

  const countedFromMs =
    Math.max(silentAtMs + CONTACT_MS, acknowledgedAtMs + CONFIG_APPLY_MS) +
    MARGIN_MS;
  await sleep(countedFromMs - record.nowMs);
  record.note(`${RUNNING} is in touch, and version 2 must hold there`);
  const answers = [];
  const [running] = entries;
  while (record.nowMs < countedFromMs + PROBED_MS) {
    answers.push(ask(running, OLD_KEY, 'taken'));
    answers.push(ask(running, KEPT_KEY, 'kept'));
    await sleep(PROBE_INTERVAL_MS);
  }
  const all = await Promise.all(answers);
  const withTakenKey = [oldReplica, newReplica, added]
    .flatMap(({runs}) => runs)
    .filter(({id}) => id.startsWith('taken-')).length;
  const atOldService = oldReplica.runs.filter(({id}) =>
    id.startsWith('kept-'),
  ).length;
  record.note(`${all.length} requests were sent after the bounds`);
  record.note(`runs with the key that was taken away: ${withTakenKey}`);
  record.note(`runs by the old service: ${atOldService}`);
  const lines = programs.logLines(RUNNING, ['store.', 'config.']);
  for (const line of lines) record.note(`log of ${RUNNING}: ${line}`);
  return withTakenKey === 0 && atOldService === 0;
});
