/** Starts the programs of deploy/system.toml with settings files of a small deployment. */
import {spawn} from 'node:child_process';
import {
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
  createWriteStream,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Store} from './store.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** The processes that this script started and that have not ended. */
const children = new Set();

/** Starts a process that ends with this script, however that ends. */
export function startChild(command, parts, options) {
  const child = spawn(command, parts, options);
  children.add(child);
  child.once('exit', () => children.delete(child));
  return child;
}

process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});
for (const event of [
  'SIGTERM',
  'SIGINT',
  'uncaughtException',
  'unhandledRejection',
]) {
  process.on(event, (cause) => {
    console.error(`the case could not run: ${cause?.stack ?? event}`);
    process.exit(2);
  });
}

/** Ports that were free a moment ago; each is handed out once. */
const taken = new Set();
export async function freePorts(count) {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 30_000);
    const ports = Array.from({length: count}, (_, index) => first + index);
    if (ports.some((port) => taken.has(port))) continue;
    if (!(await Promise.all(ports.map(isFree))).every(Boolean)) continue;
    for (const port of ports) taken.add(port);
    return ports;
  }
}

function isFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** The command of a role, as the deploy file gives it. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
}

/** One program of the deployment, in a process of its own. */
export class Program {
  constructor(role, settingsPath, logPath) {
    const [command, ...rest] = commandOf(role);
    const {PATH, HOME, LANG} = process.env;
    this.role = role;
    this.logPath = logPath;
    this.log = createWriteStream(logPath, {flags: 'a'});
    this.child = startChild(command, rest, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, LILACLEDGE_BOOT: settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child.stdout.pipe(this.log, {end: false});
    this.child.stderr.pipe(this.log, {end: false});
    this.exit = undefined;
    this.exited = new Promise((resolve) =>
      this.child.once('exit', (code, signal) => {
        this.exit = {code, signal};
        resolve(this.exit);
      }),
    );
  }

  signal(name) {
    this.child.kill(name);
  }

  async end() {
    if (this.exit === undefined) this.child.kill('SIGKILL');
    await this.exited;
  }
}

/** A small deployment: a store, entries and sidecars; replicas are the caller's. */
export class Fleet {
  entries = [];
  sidecars = [];
  #folder = mkdtempSync(join(tmpdir(), 'lilacledge-review-'));

  static async start({
    entries = 1,
    engines = [],
    config,
    bounds = {},
    memoryMb = 200,
  }) {
    const fleet = new Fleet();
    const [storePort] = await freePorts(1);
    fleet.store = new Store(storePort);
    await fleet.store.listen();
    fleet.bounds = {
      seedLagS: 3,
      reuseAfterS: 2,
      contactMs: 3000,
      ackMs: 4000,
      catchUpS: 4,
      drainMs: 2000,
      graceS: 8,
      lossSlackMs: 200,
      configApplyMs: 2000,
      rollbackSlackMs: 250,
      outerMs: 5000,
      failClosed: false,
      revokeMs: 5000,
      retryBudgetRatio: 0.2,
      retryWindowS: 10,
      retrySlack: 56,
      recoverS: 12,
      eventLagMs: 120,
      reuseWindowS: 5.4,
      ...bounds,
    };
    fleet.memoryMb = memoryMb;
    if (config !== undefined) fleet.store.put('op/config', config);
    const sets = [];
    for (let index = 0; index < entries; index++) sets.push(await freePorts(5));
    fleet.seeds = sets
      .slice(0, 3)
      .map(([, , control]) => `127.0.0.1:${control}`);
    for (const [index, ports] of sets.entries()) fleet.#addEntry(index, ports);
    for (const [index, engine] of engines.entries()) {
      await fleet.#addSidecar(index, engine);
    }
    return fleet;
  }

  #addEntry(index, [frontend, readiness, control, link]) {
    const name = `edge-z${index + 1}-1`;
    const entry = {name, frontend, readiness, control, link, bootstrap: true};
    this.entries.push(entry);
    this.writeEntrySettings(entry);
    this.startEntry(entry);
  }

  writeEntrySettings(entry, bounds = {}) {
    const {name, frontend, readiness, control, link, bootstrap} = entry;
    entry.path = join(this.#folder, `${name}.toml`);
    writeFileSync(
      entry.path,
      this.#settings({
        name,
        link,
        bootstrap,
        bounds,
        role: 'entry',
        machineClass: 'edge',
        serves: ['edge', 'control'],
        listen: [
          `frontend = "127.0.0.1:${frontend}"`,
          `readiness = "127.0.0.1:${readiness}"`,
          `controlPlane = "127.0.0.1:${control}"`,
        ],
      }),
    );
  }

  startEntry(entry) {
    entry.program = new Program(
      'entry',
      entry.path,
      join(this.#folder, `${entry.name}.log`),
    );
  }

  async #addSidecar(index, engine) {
    const [link] = await freePorts(2);
    const name = `side-z${index + 1}-1`;
    const path = join(this.#folder, `${name}.toml`);
    const [inbound, outbound, readiness] = await freePorts(3);
    writeFileSync(
      path,
      this.#settings({
        name,
        link,
        bootstrap: true,
        role: 'sidecar',
        machineClass: 'side',
        serves: ['side'],
        extra: [`app = "${engine.address}"`, `service = "${engine.service}"`],
        listen: [
          `outbound = "127.0.0.1:${outbound}"`,
          `inbound = "127.0.0.1:${inbound}"`,
          `readiness = "127.0.0.1:${readiness}"`,
        ],
      }),
    );
    const program = new Program(
      'sidecar',
      path,
      join(this.#folder, `${name}.log`),
    );
    this.sidecars.push({name, program, path});
  }

  #settings({
    name,
    link,
    bootstrap,
    role,
    machineClass,
    serves,
    listen,
    extra = [],
    bounds = {},
  }) {
    const all = {...this.bounds, ...bounds};
    return [
      `nodeName = "${name}"`,
      `role = "${role}"`,
      `machineClass = "${machineClass}"`,
      `serves = ${JSON.stringify(serves)}`,
      'ip = "127.0.0.1"',
      'zone = "valenzuela"',
      'region = "luzon"',
      `internalPorts = [${link},${link + 1}]`,
      `seeds = ${JSON.stringify(this.seeds)}`,
      `bootstrap = ${bootstrap}`,
      'lossCounts = false',
      'discovery = "platform"',
      'entry = "vip"',
      'heartbeatMs = 1200',
      ...extra,
      '[zones]',
      'valenzuela = "luzon"',
      '[listen]',
      ...listen,
      '[limits]',
      'cpuQuota = 0.513',
      'cores = 1',
      `memoryMb = ${this.memoryMb}`,
      'fileDescriptors = 4100',
      'linkMbps = 1000.0',
      'diskMb = 0',
      '[bounds]',
      ...Object.entries(all).map(([key, value]) => `${key} = ${value}`),
      '[platform]',
      `address = "127.0.0.1:${this.store.port}"`,
      'form = "kv"',
      'writesPerS = 400',
      'readsPerS = 2000',
      'historyS = 20',
      'valueBytes = 1048576',
      'ttlMinMs = 1000',
      '',
    ].join('\n');
  }

  /** Waits until all entries answer their readiness check with 200. */
  async whenReady(timeoutMs = 15_000) {
    const untilMs = Date.now() + timeoutMs;
    for (const {readiness} of this.entries) {
      for (;;) {
        const status = await fetch(
          `http://127.0.0.1:${readiness}/v1/readyz`,
        ).then(
          (response) => response.status,
          () => 0,
        );
        if (status === 200) break;
        if (Date.now() > untilMs)
          throw new Error('an entry did not become ready');
        await sleep(50);
      }
    }
  }

  async end() {
    await Promise.all(
      [...this.entries, ...this.sidecars].map(({program}) => program.end()),
    );
    this.store?.close();
    rmSync(this.#folder, {recursive: true, force: true});
  }
}
