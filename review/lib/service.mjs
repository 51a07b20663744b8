/** A stand-in replica of a plain service, as PROTOCOL.md describes it. */
import {createServer} from 'node:http';

export class ServiceReplica {
  /** Requests that it ran. */
  runs = [];

  constructor({id, port, service, record, workMs = 20, answer}) {
    Object.assign(this, {id, port, service, record, workMs});
    if (answer !== undefined) this.answer = answer;
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.listen(port, '127.0.0.1');
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** What the replica writes into the store. */
  beat(zone, state = 'ready') {
    return {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone,
      version: 'v1',
      slots: 6,
      state,
      warmupLeftMs: 0,
      sequence: 1,
    };
  }

  async handle(request, response) {
    request.on('error', () => {});
    for await (const chunk of request) void chunk;
    const {headers} = request;
    const id = String(headers['x-attempt-id']);
    if (headers['x-expect-replica'] !== this.id) {
      response.writeHead(421, {'x-replica-id': this.id}).end();
      return;
    }
    this.runs.push({id, headers, atMs: performance.now()});
    this.record.note(
      `run      ${id} at ${this.id} of ${this.service} (${request.method} ${request.url}, tenant ${headers['x-tenant']})`,
    );
    setTimeout(() => this.answer(id, request, response), this.workMs);
  }

  answer(id, _request, response) {
    if (response.destroyed) return;
    response.writeHead(200, {
      'x-attempt-id': id,
      'x-response-signature': `s.${this.id}.${id}`,
    });
    response.end(`answer of ${this.id} to ${id}`);
  }
}
