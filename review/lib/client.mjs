/** A stand-in client. */
import {request} from 'node:http';

export const HOST = 'desk.example';

/** Sends one attempt; resolves with status 0 if there is no answer. */
export function send(
  port,
  path,
  {id, key, method, body, headers, record, timeoutMs, onData = () => {}},
) {
  return new Promise((resolve) => {
    const sentAtMs = performance.now();
    const outgoing = request({
      host: '127.0.0.1',
      port,
      path,
      method: method ?? 'GET',
      agent: false,
      headers: {
        host: HOST,
        'x-attempt-id': id,
        authorization: `Bearer ${key}`,
        ...headers,
      },
    });
    const finish = (result) => {
      clearTimeout(timer);
      const tookMs = performance.now() - sentAtMs;
      record?.note(
        `answered ${id}: ${result.status === 0 ? result.detail : result.status} after ${tookMs.toFixed(0)} ms`,
      );
      resolve({...result, sentAtMs, tookMs});
    };
    const timer =
      timeoutMs === undefined
        ? undefined
        : setTimeout(() => {
            finish({
              status: 0,
              detail: 'no answer, the client leaves',
              body: '',
            });
            outgoing.destroy();
          }, timeoutMs);
    record?.note(`sent     ${id}: ${method ?? 'GET'} ${path}`);
    outgoing.on('error', (error) => {
      finish({status: 0, detail: error.message, body: ''});
    });
    outgoing.on('response', (response) => {
      let text = '';
      response.on('data', (chunk) => {
        text += chunk.toString();
        onData(text);
      });
      const end = () =>
        finish({
          status: response.statusCode,
          headers: response.headers,
          body: text,
          isComplete: response.complete,
        });
      response.on('end', end);
      response.on('error', end);
    });
    outgoing.end(body);
  });
}
