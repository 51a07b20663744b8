/** Small helpers of the review cases: time, ports, records, programs of the deploy file. */
import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {existsSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

export const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/** Exit statuses of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits until `isDone` returns a truthy value; throws after `timeoutMs`. */
export async function waitFor(what, isDone, timeoutMs = 15_000) {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    const value = await isDone();
    if (value) return value;
    await sleep(20);
  }
  throw new Error(`timeout: ${what}`);
}

/** Below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 16_000;
const LAST_PORT = 31_000;
const given = new Set();

async function isFree(port) {
  if (given.has(port)) return false;
  const server = createServer();
  const isOpen = await new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => resolve(true));
  });
  if (isOpen) await new Promise((resolve) => server.close(resolve));
  return isOpen;
}

/** The first of `count` neighbouring unused ports of 127.0.0.1. */
async function freePortRange(count) {
  for (;;) {
    const first =
      FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    const ports = Array.from({length: count}, (_, index) => first + index);
    const free = await Promise.all(ports.map(isFree));
    if (!free.every(Boolean)) continue;
    for (const port of ports) given.add(port);
    return first;
  }
}

/** Unused ports of 127.0.0.1. */
export async function freePorts(count) {
  const ports = [];
  while (ports.length < count) ports.push(await freePortRange(1));
  return ports;
}

/** Two neighbouring unused ports: for links and for metrics. */
export function freePortPair() {
  return freePortRange(2);
}

/** Writes what was sent, answered and run, with milliseconds since the start. */
export class Record {
  constructor(path) {
    this.path = path;
    this.startMs = performance.now();
    writeFileSync(path, '');
  }

  get nowMs() {
    return performance.now() - this.startMs;
  }

  note(text) {
    appendFileSync(this.path, `${this.nowMs.toFixed(0).padStart(7)} ${text}\n`);
  }
}

/** The commands of the deploy file by role, split at spaces as the platform does. */
function deployCommands() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const commands = new Map();
  let role;
  for (const line of text.split('\n')) {
    const section = /^\[roles\.([^\]]+)\]/.exec(line);
    if (section !== null) role = section[1];
    const run = /^run = "(.*)"$/.exec(line);
    if (run !== null && role !== undefined) commands.set(role, run[1]);
  }
  return commands;
}

/** Starts and ends the project's programs; each has a settings file of its own. */
export class Programs {
  folder = mkdtempSync(join(tmpdir(), 'lilacledge-review-'));
  commands = deployCommands();
  children = new Set();
  logs = new Map();

  constructor() {
    if (!existsSync(join(ROOT, 'target/lilacledged.cjs'))) {
      throw new Error('target/lilacledged.cjs is missing: build first');
    }
  }

  /** Starts a role with the given text of its settings file. */
  start(role, name, settings) {
    const path = join(this.folder, `${name}.toml`);
    writeFileSync(path, settings);
    const [program, ...args] = this.commands.get(role).split(' ');
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME ?? '/',
        LANG: 'C.UTF-8',
        LILACLEDGE_BOOT: path,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = [];
    this.logs.set(name, log);
    child.stdout.on('data', (chunk) => log.push(chunk.toString()));
    child.stderr.on('data', (chunk) => log.push(chunk.toString()));
    this.children.add(child);
    child.once('exit', () => this.children.delete(child));
    return child;
  }

  /** Lines that a program wrote, of the given events. */
  logLines(name, events) {
    const lines = (this.logs.get(name) ?? []).join('').split('\n');
    return lines.filter((line) => events.some((event) => line.includes(event)));
  }

  async stop() {
    const ended = [...this.children].map(
      (child) => new Promise((resolve) => child.once('exit', resolve)),
    );
    for (const child of this.children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(ended);
    rmSync(this.folder, {recursive: true, force: true});
  }
}

const ZONE = 'perth-a';

/** A settings file with the fields and bounds of DEPLOY.md, for loopback addresses. */
export function settingsText(node) {
  const {name, role, firstPort, seeds, storePort} = node;
  const isEntry = role === 'entry';
  return [
    `nodeName = "${name}"`,
    `role = "${role}"`,
    `machineClass = "${isEntry ? 'edge' : 'side'}"`,
    `serves = [${isEntry ? '"edge","control"' : '"side"'}]`,
    'ip = "127.0.0.1"',
    `zone = "${ZONE}"`,
    'region = "wa-perth"',
    `internalPorts = [${firstPort},${firstPort + 1}]`,
    `seeds = ${JSON.stringify(seeds.map((port) => `127.0.0.1:${port}`))}`,
    'bootstrap = true',
    'lossCounts = false',
    'discovery = "platform"',
    'entry = "vip"',
    'heartbeatMs = 1200',
    'contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]',
    ...(isEntry
      ? []
      : [`app = "127.0.0.1:${node.appPort}"`, `service = "${node.service}"`]),
    '[zones]',
    `${ZONE} = "wa-perth"`,
    '[listen]',
    ...(isEntry
      ? [
          `frontend = "127.0.0.1:${node.frontendPort}"`,
          `readiness = "127.0.0.1:${node.readinessPort}"`,
          `controlPlane = "127.0.0.1:${node.controlPort}"`,
        ]
      : []),
    '[limits]',
    'cpuQuota = 0.513',
    'cores = 1',
    `memoryMb = ${isEntry ? 200 : 282}`,
    'fileDescriptors = 4100',
    'linkMbps = 1000.0',
    'diskMb = 0',
    '[faultTolerance]',
    'machines = 1',
    'zones = 0',
    'regions = 0',
    '[bounds]',
    'seedLagS = 3',
    'reuseAfterS = 2',
    'contactMs = 3000',
    'ackMs = 4000',
    'catchUpS = 4',
    'drainMs = 2000',
    'graceS = 8',
    'lossSlackMs = 200',
    'configApplyMs = 2000',
    'rollbackSlackMs = 250',
    'outerMs = 5000',
    'failClosed = false',
    'revokeMs = 5000',
    'retryBudgetRatio = 0.2',
    'retryWindowS = 10',
    'retrySlack = 56',
    'recoverS = 12',
    'eventLagMs = 120',
    'reuseWindowS = 5.4',
    '[platform]',
    `address = "127.0.0.1:${storePort}"`,
    'form = "kv"',
    'writesPerS = 400',
    'readsPerS = 2000',
    'historyS = 20',
    'valueBytes = 1048576',
    'ttlMinMs = 1000',
    '',
  ].join('\n');
}

export {ZONE};

/** Runs a case and writes its record: `body` returns true if the rule held. All programs end in any case. */
export async function runCase(recordUrl, body) {
  const record = new Record(fileURLToPath(recordUrl));
  let programs;
  let status = NOT_RUN;
  const cleanups = [];
  // A run never takes longer than the 120 seconds that a case has.
  const limit = setTimeout(() => {
    record.note('the case did not end in time');
    void programs?.stop().finally(() => process.exit(NOT_RUN));
  }, 110_000);
  // An error of the stand-ins is no verdict.
  process.on('uncaughtException', (error) => {
    record.note(`could not run: ${error.stack}`);
    void Promise.resolve(programs?.stop()).finally(() => process.exit(NOT_RUN));
  });
  try {
    programs = new Programs();
    const held = await body({programs, record, cleanups});
    status = held ? HELD : BROKEN;
  } catch (error) {
    record.note(`could not run: ${error.stack}`);
    console.error(String(error));
  }
  clearTimeout(limit);
  await programs?.stop();
  for (const cleanup of cleanups) cleanup();
  const words = ['held', 'broken', 'not run'];
  record.note(`verdict: ${words[status]}`);
  console.log(`verdict: ${words[status]}`);
  process.exit(status);
}
