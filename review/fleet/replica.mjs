/** Small stand-ins for replicas (PROTOCOL.md, "Replicas"). */
import {createServer} from 'node:http';
import {freePorts} from './fleet.mjs';

/** A replica of one service; `serve` answers the requests that it runs. */
export class Replica {
  arrivals = [];
  runs = [];
  born = Date.now();
  extraHeaders = () => ({});
  #sequence = 0;

  static async start(options) {
    const [port] = await freePorts(1);
    const replica = new Replica(port, options);
    await new Promise((resolve) =>
      replica.server.listen(port, '127.0.0.1', resolve),
    );
    return replica;
  }

  constructor(
    port,
    {id, service, serve, slots = 64, zone = 'valenzuela', report},
  ) {
    Object.assign(this, {port, id, service, serve, slots, zone});
    this.address = `127.0.0.1:${port}`;
    this.report = report;
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 5_000;
  }

  registration(state = 'ready') {
    const {service, address, zone, slots, born} = this;
    return {
      service,
      address,
      zone,
      slots,
      state,
      born,
      version: 'v1',
      warmupLeftMs: 0,
      sequence: ++this.#sequence,
      phase: 'unified',
    };
  }

  register(store, state) {
    store.put(`servers/${this.id}`, this.registration(state));
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async #handle(request, response) {
    const {headers, method, url} = request;
    if (url === '/healthz') {
      response.writeHead(200, {'x-replica-id': this.id}).end();
      return;
    }
    if (url.startsWith('/v1/')) return this.#control(request, response);
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString();
    const id = headers['x-attempt-id'];
    const received = {id, method, url, headers, body, atMs: performance.now()};
    this.arrivals.push(received);
    if (
      headers['x-expect-replica'] !== undefined &&
      headers['x-expect-replica'] !== this.id
    ) {
      response
        .writeHead(421, {'x-attempt-id': id, 'x-not-processed': '1'})
        .end();
      return;
    }
    await this.serve(this, received, response);
  }

  async #control(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const send = (status, body) => {
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(JSON.stringify(body));
    };
    if (request.url === '/v1/report') {
      send(200, {
        born: this.born,
        phase: 'unified',
        models: [{name: 'm', version: 1, adapters: []}],
        busy: false,
        sequence: 0,
        queued: 0,
        active: 0,
        kvInUse: 0,
        kvSize: 34_545,
        kvHandles: 0,
        runs: [],
        ...this.report?.(),
      });
      return;
    }
    const text = Buffer.concat(chunks).toString();
    if (this.control !== undefined) return this.control(request, text, send);
    send(404, {});
  }

  /** Counts a run; call it when the work on a request begins. */
  noteRun(received) {
    this.runs.push({id: received.id, atMs: performance.now()});
  }

  signature(received) {
    return `${this.id}.${received.id}`;
  }
}
