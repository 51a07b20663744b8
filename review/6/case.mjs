/**
 * A part of prompts that crashes each replica which begins to write an answer on it stands behind
 * sixteen others that all prompts share. Requests with it must soon reach no replica any more.
 */
import {createInterface} from 'node:readline';
import {writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {ClientConnection, requestBytes} from '../fleet/client.mjs';
import {config, HOST, KEY} from '../fleet/config.mjs';
import {Fleet, freePorts, sleep, startChild} from '../fleet/fleet.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** How many parts stand before the one that crashes replicas. */
const PARTS_BEFORE = Number(process.env.PARTS_BEFORE ?? 16);
const DEADLY_PART = 'dead0001';
const ENGINES = 6;
const ENTRIES = 2;
const RESTART_MS = 2_000;
const PLAY_MS = 25_000;
const DEADLY_EACH_MS = 500;
const SOUND_EACH_MS = 150;
const CONTACT_MS = 3_000;
/** Crash after which, and requests that then still may reach replicas (BUDGET). */
const CRASHES = 5;
const MAX_LATER = 3;
const EVENTS = 10;

const lines = [];
const startMs = performance.now();
const nowS = () => (performance.now() - startMs) / 1_000;
const note = (line) => lines.push(`${nowS().toFixed(3)} s  ${line}`);
const crashes = [];
const arrivals = [];
const deadlySentS = new Map();

/** A replica that the platform starts again, under its id, after it crashed. */
class Engine {
  service = 'drafting';
  isEnded = false;

  constructor(index, port) {
    this.id = `i-7f3a91c${index}`;
    this.port = port;
    this.address = `127.0.0.1:${port}`;
  }

  start(store, beat) {
    const path = fileURLToPath(
      new URL('../fleet/engineProcess.mjs', import.meta.url),
    );
    const parts = [path, this.id, String(this.port), 'chunked', DEADLY_PART];
    this.child = startChild(process.execPath, parts, {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.exited = new Promise((resolve) => this.child.once('exit', resolve));
    void this.exited.then(async () => {
      this.born = undefined;
      if (this.isEnded) return;
      await sleep(RESTART_MS);
      if (!this.isEnded) await this.start(store, beat);
    });
    return new Promise((resolve) => {
      createInterface({input: this.child.stdout}).on('line', (line) => {
        const [word, second, third] = line.split(' ');
        if (word === 'ready') {
          this.born = Number(second);
          beat();
          resolve();
          return;
        }
        note(`replica ${this.id}: ${line}`);
        if (word === 'crash') crashes.push({atS: nowS(), id: third});
        if (word === 'run' && deadlySentS.has(second))
          arrivals.push({atS: nowS(), id: second});
      });
    });
  }

  async end() {
    this.isEnded = true;
    this.child.kill('SIGKILL');
    await this.exited;
  }
}

let count = 0;
async function request(ports, isDeadly) {
  const index = count++;
  const id = `9c41d07be2a3${(0x1000 + index).toString(16)}`;
  const shared = Array.from(
    {length: PARTS_BEFORE},
    (_, part) => `5c1e${(0x1000 + part).toString(16)}:20`,
  );
  const parts = [
    ...shared,
    ...(isDeadly ? [`${DEADLY_PART}:20`] : []),
    `${(0x91bd0000 + index).toString(16)}:20`,
  ];
  const connection = await ClientConnection.open(ports[index % ports.length]);
  if (isDeadly) {
    deadlySentS.set(id, nowS());
    note(`client sends ${id}, which holds the part ${DEADLY_PART}`);
  }
  connection.write(
    requestBytes({
      method: 'POST',
      path: '/check/2f',
      host: HOST,
      key: KEY,
      id,
      deadlineMs: 6_000,
      body: `check ${index}`,
      headers: {
        'X-Model': 'm',
        'X-Token-Count': `${parts.length * 20},${EVENTS * 4}`,
        'X-Length-Hint': String(EVENTS * 4),
        'X-Prefix-Hash': parts.join(','),
      },
    }),
  );
  const answer = await connection.readAnswer(8_000);
  connection.close();
  const events = [...answer.body.matchAll(/^id: (\d+)$/gm)].length;
  const isServed = answer.status === 200 && answer.isWhole && events === EVENTS;
  const text = isServed
    ? 'served'
    : answer.status === 200
      ? `cut after ${events} events`
      : `answered ${answer.status}`;
  if (!isServed || isDeadly)
    note(`client got ${id}${isDeadly ? ' (deadly)' : ''}: ${text}`);
  return {isDeadly, isServed, status: answer.status};
}

async function play() {
  const ports = await freePorts(ENGINES);
  const engines = ports.map((port, index) => new Engine(index, port));
  const fleet = await Fleet.start({
    entries: ENTRIES,
    engines,
    config: config(),
  });
  let sequence = 0;
  const beat = () => {
    for (const {id, address, service, born} of engines) {
      if (born === undefined) continue;
      fleet.store.put(`servers/${id}`, {
        service,
        address,
        zone: 'valenzuela',
        version: 'v1',
        slots: 64,
        state: 'ready',
        warmupLeftMs: 0,
        sequence: ++sequence,
        born,
      });
    }
  };
  await Promise.all(engines.map((engine) => engine.start(fleet.store, beat)));
  const heartbeat = setInterval(beat, 1_200);
  try {
    await fleet.whenReady();
    await sleep(2_000);
    const frontends = fleet.entries.map(({frontend}) => frontend);
    const open = [];
    const sendEach = (ms, isDeadly) =>
      setInterval(() => open.push(request(frontends, isDeadly)), ms);
    const timers = [
      sendEach(SOUND_EACH_MS, false),
      sendEach(DEADLY_EACH_MS, HAS_TROUBLE),
    ];
    await sleep(PLAY_MS);
    timers.forEach(clearInterval);
    return await Promise.all(open);
  } finally {
    clearInterval(heartbeat);
    await Promise.all(engines.map((engine) => engine.end()));
    await fleet.end();
  }
}

let code;
try {
  const seen = await play();
  const sound = seen.filter(({isDeadly}) => !isDeadly);
  const lost = sound.filter(
    ({isServed, status}) => !isServed && status !== 503,
  ).length;
  const refused = sound.filter(({status}) => status === 503).length;
  const fifth = crashes[CRASHES - 1];
  const fromS = fifth === undefined ? Infinity : fifth.atS + CONTACT_MS / 1_000;
  const later = arrivals.filter(({id}) => deadlySentS.get(id) > fromS);
  note(
    `replicas crashed ${crashes.length} times${fifth === undefined ? '' : `, the fifth time at ${fifth.atS.toFixed(3)} s`}`,
  );
  note(
    `requests with the part that were sent later than ${CONTACT_MS} ms after that and reached replicas: ${later.length}; ${MAX_LATER} are allowed`,
  );
  note(
    `sound requests: ${sound.length}, of these lost ${lost}, refused ${refused}`,
  );
  code = later.length > MAX_LATER ? 1 : 0;
  if (!HAS_TROUBLE && lost + refused > 0) code = 2;
} catch (error) {
  note(`the case could not run: ${error.stack}`);
  code = 2;
}
note(
  code === 0 ? 'the rule held' : code === 1 ? 'the rule was broken' : 'not run',
);
writeFileSync(new URL('record.txt', import.meta.url), `${lines.join('\n')}\n`);
console.log(lines.slice(-4).join('\n'));
process.exit(code);
