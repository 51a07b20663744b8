/**
 * Starts a local stack: the stand-ins, sidecars and entries of one deployment, each
 * as a process of its own. `npm start` runs the deployment of Bayanihan, and
 * `npm start -- sutolinen` that of Sutolinen. Ctrl-C stops all processes.
 */
import {readFileSync} from 'node:fs';
import {randomBytes} from 'node:crypto';
import {LocalStack, LOCAL_OPERATOR_KEY, waitFor} from '@lilacledge/localstack';
import {toMintedKey} from '@lilacledge/shared';

const DEPLOYMENTS = {
  bayanihan: {
    zones: ['valenzuela', 'calamba', 'clark'],
    engines: {service: 'drafting-llm', model: 'drafting-1', replicas: 6},
    plain: {service: 'booking-api', replicas: 3},
    organisation: 'clark-yard',
  },
  sutolinen: {
    zones: ['kolkata', 'howrah', 'siliguri'],
    engines: {service: 'linen-assist', model: 'assist-1', replicas: 6},
    plain: {service: 'dhobi-desk', replicas: 3},
    organisation: 'howrah-houses',
  },
};

const name = process.argv[2] ?? 'bayanihan';
const plan = DEPLOYMENTS[name];
if (plan === undefined) {
  console.error(
    `unknown deployment; known: ${Object.keys(DEPLOYMENTS).join(', ')}`,
  );
  process.exit(2);
}
const entryPorts = [
  Number(process.env.LILACLEDGE_PORT ?? 8080),
  Number(process.env.LILACLEDGE_PORT ?? 8080) + 1,
];
const stack = new LocalStack();
let isStopping = false;

async function stop(code) {
  if (isStopping) return;
  isStopping = true;
  await stack.stop();
  process.exit(code);
}
process.on('SIGINT', () => void stop(0));
process.on('SIGTERM', () => void stop(0));

function zoneOf(index) {
  return plan.zones[index % plan.zones.length];
}

async function start() {
  await stack.startPlatform();
  const {engines, plain} = plan;
  for (let index = 0; index < engines.replicas; index++) {
    const id = `${engines.service}-${index + 1}`;
    await stack.startEngineSidecar(id, engines.service, zoneOf(index));
  }
  for (let index = 0; index < plain.replicas; index++) {
    const id = `${plain.service}-${index + 1}`;
    await stack.startPlainSidecar(id, plain.service, zoneOf(index));
  }
  const entries = [];
  for (const [index, port] of entryPorts.entries()) {
    entries.push(
      await stack.startEntry(`entry-${index + 1}`, zoneOf(index), {}, port),
    );
  }
  const configUrl = new URL(
    `../packages-private/localstack/configs/${name}.jsonc`,
    import.meta.url,
  );
  await stack.operator(entries[0]).applyConfig({
    writeId: 'local-start',
    author: 'npm start',
    baseRevision: 0n,
    document: readFileSync(configUrl, 'utf8'),
  });
  for (const entry of entries) await waitUntilServing(entry);
  return entries;
}

async function waitUntilServing(entry) {
  const expected = plan.engines.replicas + plan.plain.replicas;
  await waitFor(
    'serving endpoints',
    async () => {
      const {endpoints} = await stack.operator(entry).getStatus({});
      const serving = endpoints.filter(({state}) => state === 'serving');
      const slots = serving.reduce((sum, row) => sum + row.slots, 0);
      return serving.length === expected && slots > 0 ? true : undefined;
    },
    60_000,
  );
}

function printHelp(entries) {
  const [first, second] = entries;
  const key = `key-${plan.organisation}`;
  console.log(`
The local stack of ${name} is up.
Callers: ${first.url} and ${second.url}

A streamed generation:
  curl -N ${first.url}/v1/chat/completions -H 'authorization: Bearer ${key}' \\
    -H 'content-type: application/json' \\
    -d '{"model":"${plan.engines.model}","stream":true,"messages":[{"role":"user","content":"a quote, please"}]}'

A booking (its Idempotency-Key is a UUIDv7; sending it again replays the answer):
  curl ${first.url}/services/${plan.plain.service}/bookings -H 'authorization: Bearer ${key}' \\
    -H 'content-type: application/json' -H 'idempotency-key: ${toMintedKey(Date.now(), randomBytes(10))}' \\
    -d '{"drums":3}'

Operators:
  LILACLEDGE_OPERATOR_KEY=${LOCAL_OPERATOR_KEY} npx lilacledge --entry ${first.url} status

Ctrl-C ends every process.`);
}

start()
  .then(printHelp)
  .catch(async (error) => {
    console.error(String(error));
    await stop(1);
  });
