/** A stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
import {createServer} from 'node:http';

/** Idle connections are kept; the page states no time after which the store closes them. */
const KEEP_ALIVE_MS = 120_000;

const MAX_PAGE_ITEMS = 500;

export class Store {
  revision = 1;
  items = new Map();
  events = [];
  leases = new Map();
  nextLease = 1;
  waiting = new Set();
  isDown = false;

  constructor(port) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
    this.server.listen(port, '127.0.0.1');
  }

  close() {
    for (const {timer} of this.leases.values()) clearTimeout(timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a value as the operator or a replica does; the return is the acknowledgement. */
  put(key, value, lease = 0) {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const revision = ++this.revision;
    const created = this.items.get(key)?.created ?? revision;
    const item = {
      key,
      value: Buffer.from(text).toString('base64'),
      revision,
      created,
      lease,
    };
    this.items.set(key, item);
    this.publish(item);
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.publish({key, revision: ++this.revision, deleted: true});
  }

  publish(event) {
    this.events.push(event);
    for (const notify of [...this.waiting]) notify();
  }

  /** The store resets all connections until `comeBack`; all leases run out meanwhile. */
  goDown() {
    this.isDown = true;
    for (const id of [...this.leases.keys()]) this.endLease(id);
    this.server.closeAllConnections();
  }

  comeBack() {
    this.isDown = false;
  }

  async handle(request, response) {
    if (this.isDown) return request.socket.resetAndDestroy();
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    const {pathname, searchParams} = url;
    const id = Number(pathname.slice(pathname.lastIndexOf('/') + 1));
    if (pathname === '/v1/kv-range') return this.range(searchParams, response);
    if (pathname === '/v1/kv-watch') return this.watch(searchParams, response);
    if (pathname === '/v1/kv-txn') return this.commit(body, response);
    if (pathname === '/v1/kv-lease') {
      const {ttlMs} = body;
      const lease = this.nextLease++;
      this.leases.set(lease, {ttlMs});
      this.keep(lease);
      return answer(response, 200, {lease, ttlMs});
    }
    if (pathname.startsWith('/v1/kv-keep/')) {
      return answer(response, this.keep(id) ? 200 : 404, {});
    }
    if (pathname.startsWith('/v1/kv-lease-end/')) {
      this.endLease(id);
      return answer(response, 200, {});
    }
    answer(response, 404, {});
  }

  keep(id) {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.endLease(id), lease.ttlMs);
    return true;
  }

  endLease(id) {
    clearTimeout(this.leases.get(id)?.timer);
    this.leases.delete(id);
    for (const {key, lease} of [...this.items.values()]) {
      if (lease === id) this.remove(key);
    }
  }

  range(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...this.items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    answer(response, 200, {
      entries: found.slice(0, MAX_PAGE_ITEMS),
      hasMore: found.length > MAX_PAGE_ITEMS,
      atRev: this.revision,
    });
  }

  watch(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const finish = (events) => {
      clearTimeout(timer);
      this.waiting.delete(check);
      answer(response, 200, {events, atRev: this.revision});
    };
    const check = () => {
      const events = this.events.filter(
        ({key, revision}) => key.startsWith(prefix) && revision > after,
      );
      if (events.length > 0) finish(events);
    };
    const timer = setTimeout(() => finish([]), Number(query.get('waitMs')));
    response.on('close', () => {
      clearTimeout(timer);
      this.waiting.delete(check);
    });
    this.waiting.add(check);
    check();
  }

  commit({expectedRev, write, remove}, response) {
    const current = expectedRev.map(({key}) => this.items.get(key));
    const isExpected = expectedRev.every(
      ({revision}, index) => (current[index]?.revision ?? 0) === revision,
    );
    if (!isExpected) return answer(response, 412, {entries: current});
    if (write.some(({lease}) => lease > 0 && !this.leases.has(lease))) {
      return answer(response, 404, {});
    }
    for (const {key, value, lease} of write) {
      this.put(key, Buffer.from(value, 'base64').toString(), lease);
    }
    for (const key of remove) this.remove(key);
    answer(response, 200, {revision: this.revision});
  }
}

function answer(response, status, body) {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}
