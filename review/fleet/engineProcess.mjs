/**
 * A model replica in a process of its own, so that it can be killed:
 * `engineProcess.mjs ID PORT FRAMING [PART]`. With the framing `some`, one of 20 of its streams has
 * neither a length nor chunks and ends with its connection. It crashes when it begins to write an answer
 * to a prompt that holds PART. Writes a line for each run and for each end to standard output.
 */
import {createServer} from 'node:http';

const TOKENS_PER_EVENT = 4;
const EVENT_INTERVAL_MS = 40;
/** With the framing `some`, the 10th of each 20 streams ends with its connection. */
const UNFRAMED_EACH = 20;
const FIRST_UNFRAMED = 10;

const [id, port, framing, deadlyPart] = process.argv.slice(2);
const born = Date.now();
const runs = new Map();
let runCount = 0;
const say = (line) => process.stdout.write(`${line}\n`);

createServer((request, response) => {
  const {url, headers} = request;
  if (url === '/healthz')
    return response.writeHead(200, {'x-replica-id': id}).end();
  if (url === '/v1/report') return sendReport(response);
  if (url.startsWith('/v1/'))
    return response.writeHead(404, {'content-length': 0}).end();
  request.resume();
  request.on('end', () => {
    const attempt = headers['x-attempt-id'];
    if (headers['x-expect-replica'] !== id) {
      response
        .writeHead(421, {'x-attempt-id': attempt, 'content-length': 0})
        .end();
      return;
    }
    run(attempt, headers, response);
  });
}).listen(Number(port), '127.0.0.1', () => say(`ready ${born}`));

function run(attempt, headers, response) {
  const [prompt, output] = headers['x-token-count'].split(',').map(Number);
  const total = output / TOKENS_PER_EVENT;
  const isUnframed =
    framing === 'some' && ++runCount % UNFRAMED_EACH === FIRST_UNFRAMED;
  say(
    `run ${attempt} of ${total} events${isUnframed ? ', without a length or chunks' : ''}`,
  );
  if (isUnframed) response.useChunkedEncodingByDefault = false;
  response.writeHead(200, {
    ...(isUnframed && {connection: 'close'}),
    'content-type': 'text/event-stream',
    'x-attempt-id': attempt,
    'x-response-signature': `${id}.${attempt}`,
  });
  const parts = (headers['x-prefix-hash'] ?? '')
    .split(',')
    .map((part) => part.split(':')[0]);
  if (deadlyPart !== undefined && parts.includes(deadlyPart)) {
    say(`crash under ${attempt}`);
    response.flushHeaders();
    setTimeout(() => process.kill(process.pid, 'SIGKILL'), 5);
    return;
  }
  let made = 0;
  runs.set(attempt, () => [attempt, prompt + made * TOKENS_PER_EVENT, made, 5]);
  const timer = setInterval(() => {
    made++;
    response.write(`id: ${made}\ndata: ${attempt} ${made} of ${total}\n\n`);
    if (made < total) return;
    clearInterval(timer);
    response.end();
    say(`end ${attempt} after ${made} events`);
  }, EVENT_INTERVAL_MS);
  response.on('close', () => {
    clearInterval(timer);
    runs.delete(attempt);
    if (made < total) say(`closed ${attempt} after ${made} events`);
  });
}

function sendReport(response) {
  const rows = [...runs.values()].map((row) => row());
  const kvInUse = rows.reduce((sum, [, tokens]) => sum + tokens, 0);
  response.writeHead(200, {'content-type': 'application/json'});
  response.end(
    JSON.stringify({
      born,
      phase: 'unified',
      models: [{name: 'm', version: 1, adapters: []}],
      busy: false,
      sequence: 0,
      queued: 0,
      active: rows.length,
      kvInUse,
      kvSize: 34_545,
      kvHandles: 0,
      runs: rows,
    }),
  );
}
