import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';
import {createDefaultShape, parseShape} from '../soakShape.js';

const SHAPE = {entries: 4, engines: 6, services: 3, retrySlack: 54};

describe('createDefaultShape', () => {
  it('divides the processes into entries and engines', () => {
    const {entries, engines} = createDefaultShape(12);
    expect(entries + engines).toBe(12);
  });
});

describe('parseShape', () => {
  it('accepts JSON with comments', () => {
    const text = `// a deployment\n${JSON.stringify(SHAPE)}`;
    expect(parseShape(text)).toEqual(SHAPE);
  });

  it.each([
    ['text that is no object', 'entries', 'no object'],
    [
      'a missing field',
      JSON.stringify({...SHAPE, entries: undefined}),
      'entries',
    ],
    [
      'a field that is not a number',
      JSON.stringify({...SHAPE, engines: '6'}),
      'engines',
    ],
    [
      'a number below the minimum',
      JSON.stringify({...SHAPE, services: 1}),
      'services',
    ],
    ['an unknown field', JSON.stringify({...SHAPE, zones: 3}), 'zones'],
  ])('rejects %s', (_name, text, named) => {
    expect(() => parseShape(text)).toThrow(named);
  });

  it('accepts all shapes in the shapes folder', () => {
    const folder = fileURLToPath(new URL('../../shapes/', import.meta.url));
    const files = readdirSync(folder);
    expect(files.length).toBeGreaterThan(0);
    for (const file of files) {
      expect(() =>
        parseShape(readFileSync(`${folder}${file}`, 'utf8')),
      ).not.toThrow();
    }
  });
});
