/** A client that writes and reads raw bytes, so that nothing is interpreted on the way. */
import {connect} from 'node:net';

/** One connection to an entry; reads answers one after the other. */
export class ClientConnection {
  #buffer = Buffer.alloc(0);
  #wake = () => {};
  isEnded = false;
  error;

  static open(port) {
    return new Promise((resolve, reject) => {
      const connection = new ClientConnection();
      connection.socket = connect(
        {port, host: '127.0.0.1', noDelay: true},
        () => resolve(connection),
      );
      connection.socket.on('data', (chunk) => {
        connection.#buffer = Buffer.concat([connection.#buffer, chunk]);
        connection.#wake();
      });
      connection.socket.on('error', (error) => {
        connection.error = error;
        reject(error);
      });
      connection.socket.on('close', () => {
        connection.isEnded = true;
        connection.#wake();
      });
    });
  }

  write(bytes) {
    this.socket.write(bytes);
  }

  get unread() {
    return this.#buffer;
  }

  close() {
    this.socket.destroy();
  }

  async #more(deadlineMs) {
    if (this.isEnded) return false;
    const leftMs = deadlineMs - Date.now();
    if (leftMs <= 0) return false;
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, leftMs);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    return Date.now() < deadlineMs || this.#buffer.length > 0;
  }

  /** Reads one answer; `isWhole` is false if it ended early, `status` 0 if none began. */
  async readAnswer(timeoutMs = 10_000, isHead = false) {
    const deadlineMs = Date.now() + timeoutMs;
    let end;
    while ((end = this.#buffer.indexOf('\r\n\r\n')) < 0) {
      if (!(await this.#more(deadlineMs)))
        return {status: 0, headers: {}, body: '', isWhole: false};
    }
    const [first, ...lines] = this.#buffer
      .subarray(0, end)
      .toString('latin1')
      .split('\r\n');
    this.#buffer = this.#buffer.subarray(end + 4);
    const headers = {};
    for (const line of lines) {
      const colon = line.indexOf(':');
      headers[line.slice(0, colon).toLowerCase()] = line
        .slice(colon + 1)
        .trim();
    }
    const status = Number(first.split(' ')[1]);
    const answer = {
      status,
      headers,
      body: '',
      isWhole: true,
      atMs: performance.now(),
    };
    if (status === 100) return this.readAnswer(timeoutMs, isHead);
    if (isHead || status === 204 || status === 304) return answer;
    if (headers['transfer-encoding'] === 'chunked')
      return this.#readChunks(answer, deadlineMs);
    const length = Number(headers['content-length']);
    while (this.#buffer.length < length) {
      if (!(await this.#more(deadlineMs))) return {...answer, isWhole: false};
    }
    answer.body = this.#buffer.subarray(0, length).toString('latin1');
    this.#buffer = this.#buffer.subarray(length);
    return answer;
  }

  async #readChunks(answer, deadlineMs) {
    for (;;) {
      const lineEnd = this.#buffer.indexOf('\r\n');
      const size =
        lineEnd < 0
          ? NaN
          : parseInt(this.#buffer.subarray(0, lineEnd).toString(), 16);
      if (lineEnd >= 0 && this.#buffer.length >= lineEnd + 4 + size) {
        answer.body += this.#buffer
          .subarray(lineEnd + 2, lineEnd + 2 + size)
          .toString('latin1');
        this.#buffer = this.#buffer.subarray(lineEnd + 4 + size);
        if (size === 0) return answer;
        continue;
      }
      if (!(await this.#more(deadlineMs))) return {...answer, isWhole: false};
    }
  }
}

/** The bytes of a request. */
export function requestBytes({
  method = 'GET',
  path,
  host,
  id,
  key,
  deadlineMs = 3_000,
  headers = {},
  body,
}) {
  const all = {
    Host: host,
    'X-Attempt-Id': id,
    'X-Deadline-Ms': String(deadlineMs),
    ...(key === undefined ? {} : {Authorization: `Bearer ${key}`}),
    ...(body === undefined
      ? {}
      : {'Content-Length': String(Buffer.byteLength(body))}),
    ...headers,
  };
  const lines = Object.entries(all).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body ?? ''}`;
}
