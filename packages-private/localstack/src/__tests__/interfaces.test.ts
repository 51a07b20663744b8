import {spawn} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import OpenAI from 'openai';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {
  LOCAL_OPERATOR_KEY,
  localApiKey,
  streamGeneration,
  waitFor,
} from '../index.js';
import {CONFIG, startSmallStack} from './smallStack.js';
import type {SmallStack} from './smallStack.js';

interface Span {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId?: string;
}

/** An HTTP server that collects OTLP spans in the JSON encoding. */
class SpanCollector {
  readonly spans: Span[] = [];
  private readonly server: Server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      this.addSpans(JSON.parse(Buffer.concat(chunks).toString()));
      response.end('{}');
    });
  });

  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = this.server.address() as AddressInfo;
    return `http://127.0.0.1:${port}/v1/traces`;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private addSpans(body: {
    resourceSpans: Array<{scopeSpans: Array<{spans: Span[]}>}>;
  }): void {
    for (const {scopeSpans} of body.resourceSpans) {
      for (const {spans} of scopeSpans) this.spans.push(...spans);
    }
  }
}

interface CommandResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

describe('the HTTP and command-line interfaces of a running stack', () => {
  const collector = new SpanCollector();
  const folder = mkdtempSync(join(tmpdir(), 'lilacledge-cli-'));
  let small: SmallStack;

  beforeAll(async () => {
    const tracesUrl = await collector.start();
    small = await startSmallStack({tracesUrl});
  });

  afterAll(async () => {
    await small.stack.stop();
    collector.stop();
  });

  /** Runs a command of the product until it exits. */
  function run(binary: string, ...args: string[]): Promise<CommandResult> {
    const require = createRequire(import.meta.url);
    const dist = dirname(require.resolve('lilacledge'));
    const child = spawn(
      process.execPath,
      [join(dist, 'bin', `${binary}.js`), ...args],
      {env: {...process.env, LILACLEDGE_OPERATOR_KEY: LOCAL_OPERATOR_KEY}},
    );
    let stdout = '';
    let stderr = '';
    child.stdout.on('data', (chunk) => (stdout += String(chunk)));
    child.stderr.on('data', (chunk) => (stderr += String(chunk)));
    return new Promise((resolve) => {
      child.once('close', (code) => resolve({code, stdout, stderr}));
    });
  }

  function runCli(...args: string[]): Promise<CommandResult> {
    return run('lilacledge', '--entry', small.entries[0].url, ...args);
  }

  function writeFile(name: string, text: string): string {
    const path = join(folder, name);
    writeFileSync(path, text);
    return path;
  }

  describe('callers', () => {
    it('can use the standard OpenAI client for chat completions', async () => {
      const client = new OpenAI({
        baseURL: `${small.entries[0].url}/v1`,
        apiKey: localApiKey('clark-yard'),
      });
      const models = await client.models.list();
      expect(models.data.map(({id}) => id)).toEqual(['drafting-1']);
      const messages = [{role: 'user' as const, content: '[[output=12]] hi'}];
      const whole = await client.chat.completions.create({
        model: 'drafting-1',
        messages,
      });
      expect(whole.choices[0]!.message.content!.trim().split(' ')).toHaveLength(
        12,
      );
      expect(whole.usage!.completion_tokens).toBe(12);
      const stream = await client.chat.completions.create({
        model: 'drafting-1',
        messages,
        stream: true,
      });
      const parts: string[] = [];
      for await (const chunk of stream) {
        const text = chunk.choices[0]?.delta.content ?? '';
        if (text !== '') parts.push(text);
      }
      expect(parts).toHaveLength(12);
    });

    it.each([
      ['a wrong key', 'nobody', '{"model":"drafting-1","prompt":"x"}', 401],
      ['an unknown model', 'clark-yard', '{"model":"no","prompt":"x"}', 404],
      ['broken JSON', 'clark-yard', '{"model":', 400],
      ['a missing prompt', 'clark-yard', '{"model":"drafting-1"}', 400],
      ['an oversize body', 'clark-yard', `"${'x'.repeat(1_100_000)}"`, 413],
    ])(
      'get a problem document with the status of %s',
      async (_, organisation, body, status) => {
        const response = await fetch(`${small.entries[0].url}/v1/completions`, {
          method: 'POST',
          headers: {authorization: `Bearer ${localApiKey(organisation)}`},
          body,
        });
        expect(response.status).toBe(status);
        expect(await response.json()).toMatchObject({
          verdict: 'notRun',
          status,
        });
      },
    );

    it('are refused when they send a forged event id', async () => {
      const answer = await streamGeneration({
        url: small.entries[0].url,
        organisation: 'clark-yard',
        model: 'drafting-1',
        prompt: 'x',
        lastEventId: 'WyJjbGFyay15YXJkIl0.AAAAAAAAAAAAAAAA.4',
      });
      expect(answer.status).toBe(410);
    });
  });

  it('exports a span of the entry and one of the sidecar, in one trace', async () => {
    const traceId = 'ab'.repeat(16);
    const response = await fetch(`${small.entries[0].url}/v1/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${localApiKey('clark-yard')}`,
        traceparent: `00-${traceId}-00000000000000aa-01`,
      },
      body: '{"model":"drafting-1","prompt":"[[output=3]]"}',
    });
    await response.text();
    const spans = await waitFor('both spans', () => {
      const found = collector.spans.filter((span) => span.traceId === traceId);
      return found.length === 2 ? found : undefined;
    });
    const entry = spans.find(({name}) => name === 'entry.request')!;
    const sidecar = spans.find(({name}) => name === 'sidecar.generate')!;
    expect(entry.parentSpanId).toBe('00000000000000aa');
    expect(sidecar.parentSpanId).toBe(entry.spanId);
  });

  describe('operators', () => {
    it('see the endpoints, as a table and as JSON', async () => {
      const table = await runCli('status');
      expect(table.stdout).toContain('engine-1');
      const json = await runCli('--json', 'status');
      const rows = JSON.parse(json.stdout) as Array<{endpoint: string}>;
      expect(rows.map(({endpoint}) => endpoint).sort()).toEqual([
        'engine-1',
        'engine-2',
        'home-1',
        'home-2',
      ]);
    });

    it('check a file offline and see the file, line and field of each error', async () => {
      const file = writeFile(
        'broken.jsonc',
        '{\n  "services": {},\n  "organisations": [],\n  "routes": [\n    {"organisations": ["*"], "service": "nowhere"}\n  ]\n}\n',
      );
      const result = await run('lilacledge', 'config', 'check', file);
      expect(result.code).toBe(2);
      expect(result.stdout).toContain(`${file}:5: routes.0.service: unknown`);
    });

    it('apply, read, compare and list changes; a conflict exits with code 3', async () => {
      const changed = CONFIG.replace('"clark-yard"', '"clark-depot"');
      const file = writeFile('changed.jsonc', changed);
      const diff = await runCli('--json', 'config', 'diff', file);
      expect(diff.stdout).toContain('clark-depot');
      const applied = await runCli('config', 'apply', file, '--author', 'ana');
      expect(applied).toMatchObject({code: 0});
      const conflict = await runCli('config', 'apply', file, '--base', '1');
      expect(conflict.code).toBe(3);
      expect(conflict.stdout).toContain('ana');
      const history = await runCli('--json', 'config', 'history');
      const rows = JSON.parse(history.stdout) as Array<{author: string}>;
      expect(rows.map(({author}) => author)).toEqual(['ana', 'test']);
      const first = await runCli('config', 'get', '--revision', '1');
      expect(first.stdout).toContain('clark-yard');
      const restored = writeFile('restored.jsonc', CONFIG);
      expect((await runCli('config', 'apply', restored)).code).toBe(0);
    });

    it('are refused with a wrong operator key', async () => {
      const file = writeFile('key', 'wrong-key-0123456789');
      const result = await runCli('--key-file', file, 'status');
      expect(result.code).toBe(1);
      expect(result.stderr).toContain('wrong operator key');
    });

    it('can see why a request was routed to its endpoint', async () => {
      const requestId = 'explain-me';
      await streamGeneration({
        url: small.entries[0].url,
        organisation: 'calamba-yard',
        model: 'drafting-1',
        prompt: '[[output=3]]',
        requestId,
      });
      const result = await runCli('explain', requestId);
      expect(result.stdout).toContain('endpoint chosen');
      expect(result.stdout).toContain('answered');
    });

    it('drain an endpoint', async () => {
      expect((await runCli('drain', 'engine-2')).code).toBe(0);
      await waitFor('draining', async () => {
        const {stdout} = await runCli('--json', 'status');
        const rows = JSON.parse(stdout) as Array<{
          endpoint: string;
          state: string;
        }>;
        const row = rows.find(({endpoint}) => endpoint === 'engine-2');
        return row?.state === 'draining' ? true : undefined;
      });
    });
  });

  it('reports the line and key of invalid settings without printing secrets', async () => {
    const file = writeFile(
      'entry.jsonc',
      '{\n  "role": "entry",\n  "instanceId": "e",\n  "zone": "z",\n  "port": "x",\n  "linkKey": "short-secret"\n}\n',
    );
    const result = await run('lilacledged', 'entry', '--config', file);
    expect(result.code).toBe(1);
    expect(result.stderr).toContain(`${file}:5: port:`);
    expect(result.stderr).toContain(`${file}:6: linkKey:`);
    expect(result.stderr).not.toContain('short-secret');
  });
});
