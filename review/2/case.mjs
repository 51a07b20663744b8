/**
 * A client resumes a stream after its last event at another entry, and the engine of the new run
 * leaves before the run has made an event. The pieces that the client gets must still be each
 * piece once, in order.
 */
import {HOST, send} from '../lib/client.mjs';
import {Engine, ENGINE} from '../lib/engine.mjs';
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

const KEY = 'key-one';
const SERVICE = 'ledge-models';
const ENTRIES = ['edge-perth-a-1', 'edge-perth-a-2'];
const ENGINES = ['i-one', 'i-two'];

/** Pieces of the stream, and the piece after which the first entry is killed. */
const PIECES = 10;
const KILLED_AFTER_PIECE = 3;
const DEADLINE_MS = 6_000;

/** How long work takes at the engine of the new run while it leaves: twice the largest of the sites. */
const SLOWNESS = 7;

const PROMPT_TOKENS = 300;

/** The platform starts an entry that was killed again after this time. */
const RESTARTED_AFTER_MS = 500;

/** Time from the notice to the end of an engine that is taken away. */
const NOTICE_MS = 2_000;

const CONFIG = {
  version: 1,
  routes: [
    {
      name: 'r-tag',
      host: HOST,
      prefix: '/tag/',
      routeKind: 'streaming',
      timeoutMs: DEADLINE_MS,
      latencyGoalMs: 1_500,
      priority: 0,
      service: SERVICE,
      maxAttempts: 2,
      anonymous: false,
      sticky: true,
      resumable: true,
      itlTargetMs: 180,
    },
  ],
  services: [
    {
      name: SERVICE,
      healthPath: '/healthz',
      maxConns: 232,
      protocol: 'h1',
      tls: false,
      engine: ENGINE,
    },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{name: 'yard', apiKeys: [KEY], priority: 1}],
};

function piecesOf(body) {
  return [...body.matchAll(/^data: piece (\d+)$/gm)].map(([, id]) =>
    Number(id),
  );
}

await runCase(RECORD, async ({programs, record, cleanups}) => {
  const [storePort, ...ports] = await freePorts(
    1 + ENGINES.length + 3 * ENTRIES.length,
  );
  const store = new Store(storePort);
  cleanups.push(() => store.close());
  store.put('op/config', CONFIG);
  const byAddress = new Map();
  const engines = ENGINES.map((id) => {
    const port = ports.shift();
    return new Engine({id, port, service: SERVICE, record, engines: byAddress});
  });
  for (const engine of engines) {
    cleanups.push(() => engine.close());
    store.put(`servers/${engine.id}`, engine.beat(ZONE));
  }
  const entries = ENTRIES.map((name) => {
    const [frontendPort, readinessPort, controlPort] = ports.splice(0, 3);
    return {name, frontendPort, readinessPort, controlPort, storePort};
  });
  const seeds = entries.map(({controlPort}) => controlPort);
  const children = new Map();
  for (const entry of entries) {
    const firstPort = await freePortPair();
    entry.settings = settingsText({...entry, role: 'entry', firstPort, seeds});
    const {name, settings} = entry;
    children.set(name, programs.start('entry', name, settings));
  }
  for (const engine of engines) {
    const name = `side-${engine.id}`;
    const settings = settingsText({
      name,
      role: 'sidecar',
      firstPort: await freePortPair(),
      seeds,
      storePort,
      appPort: engine.port,
      service: SERVICE,
    });
    programs.start('sidecar', name, settings);
  }
  const tag = (entry, id, headers = {}, onData = () => {}) =>
    send(entry.frontendPort, '/tag/1', {
      id,
      key: KEY,
      method: 'POST',
      body: 'x'.repeat(PROMPT_TOKENS),
      headers: {
        'x-model': 'm',
        'x-token-count': `${PROMPT_TOKENS},${PIECES * ENGINE.stride}`,
        'x-prefix-hash': `aa01:210,${id}:${PROMPT_TOKENS - 210}`,
        'x-length-hint': String(PIECES * ENGINE.stride),
        'x-deadline-ms': String(DEADLINE_MS),
        ...headers,
      },
      record,
      timeoutMs: DEADLINE_MS,
      onData,
    });
  for (const entry of entries) {
    await waitFor(`${entry.name} serves`, async () => {
      const answer = await tag(entry, `warm-${entry.name.at(-1)}`);
      return answer.status === 200 && answer.isComplete;
    });
  }
  await sleep(2_000);

  const [first, second] = entries;
  let isKilled = false;
  const whole = await tag(first, 'attempt-1', {}, (text) => {
    const isDue = piecesOf(text).length >= KILLED_AFTER_PIECE;
    if (!hasTrouble || isKilled || !isDue) return;
    isKilled = true;
    children.get(first.name).kill('SIGKILL');
    record.note(`${first.name} is killed`);
    setTimeout(() => {
      const settings = first.settings.replace('= true', '= false');
      programs.start('entry', first.name, settings);
    }, RESTARTED_AFTER_MS);
  });
  const got = piecesOf(whole.body);
  record.note(`pieces of attempt-1: ${got}`);
  let isWhole = whole.isComplete === true;
  if (!isWhole) {
    for (const engine of engines) {
      engine.onRequest = (run) => {
        if (run.id !== 'attempt-2' || engine.slowness > 1) return;
        if (engines.some(({leavesAtMs}) => leavesAtMs !== undefined)) return;
        engine.slowness = SLOWNESS;
        engine.leavesAtMs = performance.now() + NOTICE_MS;
        store.put(`servers/${engine.id}`, engine.beat(ZONE, 'draining'));
        record.note(
          `${engine.id} works ${SLOWNESS} times as long, and leaves in ${NOTICE_MS} ms`,
        );
        setTimeout(() => engine.close(), NOTICE_MS);
      };
    }
    const resumed = await tag(second, 'attempt-2', {
      'last-event-id': String(got.at(-1)),
    });
    const rest = piecesOf(resumed.body);
    record.note(`pieces of attempt-2: ${rest}`);
    isWhole = resumed.isComplete === true && resumed.status === 200;
    got.push(...rest);
  }
  record.note(`the client got the pieces ${got}`);
  for (const line of programs.logLines(second.name, ['move.', 'generation.'])) {
    record.note(`log of ${second.name}: ${line}`);
  }
  // Each piece once, in order; a stream that ends as complete has all of them.
  const isInOrder = got.every((piece, index) => piece === index + 1);
  return isInOrder && (!isWhole || got.length === PIECES);
});
