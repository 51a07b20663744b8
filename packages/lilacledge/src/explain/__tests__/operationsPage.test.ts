import {createReadStream, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';
import {readLogLines} from '../logLines.js';
import {buildRequestTimeline} from '../requestTimeline.js';

const docs = fileURLToPath(new URL('../../../../../docs/', import.meta.url));
const page = readFileSync(`${docs}OPERATIONS.md`, 'utf8');

/** Matches `explain` commands on the page: the request id and the log file. */
const COMMAND = /lilacledge explain ([0-9a-f]+) docs\/(\S+)/g;

describe('docs/OPERATIONS.md', () => {
  const commands = [...page.matchAll(COMMAND)];

  it('has an explain command for four kinds of failed request', () => {
    expect(commands).toHaveLength(4);
  });

  it.each(commands.map(([, id, file]) => [id!, file!]))(
    'shows only lines that explain prints for %s from %s',
    async (id, file) => {
      const lines = await readLogLines(createReadStream(docs + file));
      const steps = buildRequestTimeline(id, lines).map((step) => step.trim());
      expect(steps.length).toBeGreaterThan(0);
      const at = page.indexOf(`lilacledge explain ${id}`);
      const block = page.slice(at, page.indexOf('```', at));
      const shown = block
        .split('\n')
        .slice(1)
        .map((line) => line.trim())
        .filter((line) => line !== '' && line !== '...');
      expect(shown.length).toBeGreaterThan(0);
      for (const line of shown) expect(steps).toContain(line);
    },
  );
});
