/** A small stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store"). */
import {createServer} from 'node:http';

const MAX_PAGE_ITEMS = 500;

/** Keeps items in memory and never discards history. */
export class Store {
  revision = 1;
  #items = new Map();
  #events = [];
  #leases = new Map();
  #nextLease = 1;
  #waiting = new Set();
  #server;

  constructor(port) {
    this.port = port;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  listen() {
    return new Promise((resolve) =>
      this.#server.listen(this.port, '127.0.0.1', resolve),
    );
  }

  close() {
    for (const {timer} of this.#leases.values()) clearTimeout(timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a value as its owner does; returns the revision. */
  put(key, value, lease = 0) {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    return this.#write(key, Buffer.from(text).toString('base64'), lease);
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#publish({key, revision: ++this.revision, deleted: true});
  }

  #write(key, value, lease) {
    const revision = ++this.revision;
    const created = this.#items.get(key)?.created ?? revision;
    const item = {key, value, revision, created, lease};
    this.#items.set(key, item);
    this.#publish(item);
    return revision;
  }

  #publish(event) {
    this.#events.push(event);
    for (const notify of [...this.#waiting]) notify();
  }

  async #handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    const {pathname, searchParams} = url;
    const last = pathname.slice(pathname.lastIndexOf('/') + 1);
    if (pathname === '/v1/kv-range') {
      const prefix = searchParams.get('prefix') ?? '';
      const after = searchParams.get('after') ?? '';
      const found = [...this.#items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return send(response, 200, {
        entries: found.slice(0, MAX_PAGE_ITEMS),
        hasMore: found.length > MAX_PAGE_ITEMS,
        atRev: this.revision,
      });
    }
    if (pathname === '/v1/kv-key') {
      const item = this.#items.get(searchParams.get('key'));
      return item === undefined
        ? send(response, 404, {})
        : send(response, 200, {...item, atRev: this.revision});
    }
    if (pathname === '/v1/kv-watch') return this.#watch(searchParams, response);
    if (pathname === '/v1/kv-lease') {
      const lease = this.#nextLease++;
      this.#leases.set(lease, {ttlMs: body.ttlMs});
      this.#keep(lease);
      return send(response, 200, {lease, ttlMs: body.ttlMs});
    }
    if (pathname.startsWith('/v1/kv-keep/')) {
      return send(response, this.#keep(Number(last)) ? 200 : 404, {});
    }
    if (pathname.startsWith('/v1/kv-lease-end/')) {
      this.#end(Number(last));
      return send(response, 200, {});
    }
    if (pathname === '/v1/kv-txn') return this.#commit(body, response);
    return send(response, 404, {});
  }

  #commit({expectedRev = [], write = [], remove = []}, response) {
    const failed = expectedRev.some(
      ({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision,
    );
    if (failed) {
      const entries = expectedRev
        .map(({key}) => this.#items.get(key))
        .filter((item) => item !== undefined);
      return send(response, 412, {entries});
    }
    if (write.some(({lease}) => lease > 0 && !this.#leases.has(lease))) {
      return send(response, 404, {});
    }
    for (const {key, value, lease} of write) {
      this.#write(key, value, lease ?? 0);
    }
    for (const key of remove) this.remove(key);
    return send(response, 200, {revision: this.revision});
  }

  #watch(searchParams, response) {
    const prefix = searchParams.get('prefix') ?? '';
    const after = Number(searchParams.get('after'));
    const finish = (events) => {
      clearTimeout(timer);
      this.#waiting.delete(check);
      send(response, 200, {events, atRev: this.revision});
    };
    const check = () => {
      const events = this.#events.filter(
        ({key, revision}) => key.startsWith(prefix) && revision > after,
      );
      if (events.length > 0) finish(events);
    };
    const timer = setTimeout(
      () => finish([]),
      Number(searchParams.get('waitMs')),
    );
    response.on('close', () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
    });
    this.#waiting.add(check);
    check();
  }

  #keep(id) {
    const lease = this.#leases.get(id);
    if (lease === undefined) return false;
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.#end(id), lease.ttlMs);
    return true;
  }

  #end(id) {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.delete(id);
    for (const {key, lease} of [...this.#items.values()]) {
      if (lease === id) this.remove(key);
    }
  }
}

function send(response, status, body) {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}
