import {createReadStream, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';
import {readDecisionLines} from '../decisionLines.js';
import {tellStory} from '../tellStory.js';

const docs = fileURLToPath(new URL('../../../../../docs/', import.meta.url));
const page = readFileSync(`${docs}OPERATIONS.md`, 'utf8');

/** Commands of the page that read logs: the request's id and the file. */
const COMMAND = /lilacledge explain ([0-9a-f]+) docs\/(\S+)/g;

describe('docs/OPERATIONS.md', () => {
  const commands = [...page.matchAll(COMMAND)];

  it('explains four kinds of failed request', () => {
    expect(commands).toHaveLength(4);
  });

  it.each(commands.map(([, id, file]) => [id!, file!]))(
    'shows lines that explaining %s from %s really prints',
    async (id, file) => {
      const lines = await readDecisionLines(createReadStream(docs + file));
      const steps = tellStory(id, lines).map((step) => step.trim());
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
