/** A stand-in model replica, as PROTOCOL.md describes it; its times are those of a sheet. */
import {createServer} from 'node:http';

/** Engine of the configuration and of the stand-in. */
export const ENGINE = {
  slots: 24,
  kvCapacity: 34_287,
  kvBytes: 163_840,
  linkMbps: 24_000,
  moves: true,
  backups: true,
  stride: 4,
  most: 12,
  pinMs: 4_000,
  holdMs: 2_000,
  kvHandleS: 5,
  models: [{name: 'm'}],
};

const PREFILL_TOKENS_PER_MS = 14;
const STEP_MS = 7;
const STEP_MS_PER_SLOT = 0.12;

export class Engine {
  runs = new Map();
  /** Memory that was copied here, or that stays here after a stop, by handle. */
  handles = new Map();
  received = [];
  /** How long work takes against the usual time. */
  slowness = 1;
  leavesAtMs = undefined;
  nextHandle = 1;
  /** Called when a request was read that names this replica. */
  onRequest = () => {};
  /** Returns true for a request that crashes each replica that begins to answer it. */
  isDeadly = () => false;
  /** Called when it has crashed. */
  onCrash = () => {};

  /** @param engines the replicas of the service by address. */
  constructor({id, port, service, record, engines}) {
    Object.assign(this, {id, port, service, record, engines});
    engines.set(this.address, this);
    this.start();
  }

  /** Starts the process of the replica, which knows nothing of before. */
  start() {
    this.bornMs = Date.now();
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.sockets = new Set();
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.server.listen(this.port, '127.0.0.1');
  }

  /** Ends the process: its connections are reset, and its port refuses new ones. */
  crash() {
    for (const run of this.runs.values()) clearTimeout(run.timer);
    this.runs.clear();
    this.handles.clear();
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.onCrash();
  }

  get address() {
    return `127.0.0.1:${this.port}`;
  }

  close() {
    for (const run of this.runs.values()) clearTimeout(run.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  beat(zone, state = 'ready') {
    return {
      service: this.service,
      address: this.address,
      zone,
      version: 'v1',
      slots: ENGINE.slots,
      state,
      warmupLeftMs: 0,
      phase: 'unified',
      models: [{name: 'm', version: 1, adapters: []}],
      sequence: 1,
      born: this.bornMs,
    };
  }

  async handle(request, response) {
    request.on('error', () => {});
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    // A replica that leaves says so in all its answers.
    if (this.leavesAtMs !== undefined)
      response.setHeader('server-leaving', '1');
    if (request.url === '/v1/report') return this.report(response);
    if (request.url === '/v1/kv-move') {
      return this.move(JSON.parse(text), response);
    }
    this.generate(request, response);
  }

  report(response) {
    const runs = [...this.runs.values()];
    const running = runs.filter(({tokens}) => tokens > 0);
    const leavesMs =
      this.leavesAtMs === undefined
        ? {}
        : {leaves_ms: Math.max(0, this.leavesAtMs - performance.now())};
    reply(response, 200, {
      phase: 'unified',
      models: [{name: 'm', version: 1, adapters: []}],
      busy: false,
      sequence: 1,
      born: this.bornMs,
      queued: runs.length - running.length,
      active: running.length,
      kvInUse: runs.reduce((sum, run) => sum + memoryOf(run), 0),
      kvSize: ENGINE.kvCapacity,
      kvHandles: this.handles.size,
      state: this.leavesAtMs === undefined ? 'ready' : 'draining',
      ...leavesMs,
      runs: running.map((run) => [run.id, memoryOf(run), run.events, 5]),
    });
  }

  async move({id, to, last}, response) {
    const run = this.runs.get(id);
    const target = this.engines.get(to);
    // A request starts to run with its first token.
    if (run === undefined || run.tokens === 0) return reply(response, 404, {});
    if (target === undefined) return reply(response, 503, {});
    if (last) {
      this.remove(run);
      run.response.destroy();
    }
    const missing = memoryOf(run) - run.copiedTokens;
    run.copiedTokens = memoryOf(run);
    const copyMs = (missing * ENGINE.kvBytes * 8) / (ENGINE.linkMbps * 1_000);
    await new Promise((resolve) => setTimeout(resolve, copyMs));
    run.handle ??= `h${this.nextHandle++}`;
    this.record.note(
      `move     ${id} from ${this.id} to ${target.id}, ${last ? 'stopped' : 'copied'} with ${run.events} events made here`,
    );
    if (last) {
      const memory = {total: run.total};
      this.handles.set(run.handle, memory);
      target.handles.set(run.handle, memory);
    }
    reply(response, 200, {kvHandle: run.handle, created: run.events});
  }

  generate(request, response) {
    const {headers} = request;
    const id = String(headers['x-attempt-id']);
    if (headers['x-expect-replica'] !== this.id) {
      response.writeHead(421, {'x-replica-id': this.id}).end();
      return;
    }
    const [prompt, output] = String(headers['x-token-count'])
      .split(',')
      .map(Number);
    const from = headers['kv-from'];
    const lastEventId = headers['last-event-id'];
    this.received.push({id, from, lastEventId});
    this.record.note(
      `request  ${id} at ${this.id}: last-event-id ${lastEventId}, kv-from ${from}`,
    );
    let memory;
    if (from !== undefined) {
      const handle = from.slice(from.indexOf('/') + 1);
      memory = this.handles.get(handle);
      if (memory === undefined) {
        response.writeHead(503, {'x-not-processed': '1'}).end();
        return;
      }
      // A handle can be used once.
      for (const engine of this.engines.values()) engine.handles.delete(handle);
    }
    const run = {
      id,
      prompt,
      total: memory?.total ?? output / ENGINE.stride,
      /** The stream goes on after this event. */
      sentId: Number(lastEventId ?? 0),
      tokens: 0,
      events: 0,
      copiedTokens: 0,
      response,
    };
    this.runs.set(id, run);
    response.on('close', () => this.remove(run));
    const readMs = memory === undefined ? prompt / PREFILL_TOKENS_PER_MS : 0;
    if (this.isDeadly(headers)) {
      setTimeout(() => this.crash(), readMs);
      return;
    }
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-attempt-id': id,
      'x-response-signature': `s.${this.id}.${id}`,
    });
    response.flushHeaders();
    this.onRequest(run);
    run.timer = setTimeout(() => this.step(run), readMs * this.slowness);
  }

  /** Makes one token; each fourth completes an event. */
  step(run) {
    run.tokens++;
    if (run.tokens % ENGINE.stride === 0) {
      run.events++;
      run.sentId++;
      run.response.write(`id: ${run.sentId}\ndata: piece ${run.sentId}\n\n`);
      if (run.sentId >= run.total) {
        this.remove(run);
        run.response.end();
        return;
      }
    }
    const stepMs = STEP_MS + STEP_MS_PER_SLOT * this.runs.size;
    run.timer = setTimeout(() => this.step(run), stepMs * this.slowness);
  }

  remove(run) {
    clearTimeout(run.timer);
    if (this.runs.get(run.id) === run) this.runs.delete(run.id);
  }
}

function memoryOf(run) {
  return run.prompt + run.tokens;
}

function reply(response, status, body) {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}
