import {readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {describe, expect, it} from 'vitest';
import {parseShape, shapeOf} from '../soakShape.js';

const SHAPE = {entries: 4, engines: 6, services: 3, retrySlack: 54};

describe('shapeOf', () => {
  it('has entries and engines, as many as asked for', () => {
    const {entries, engines} = shapeOf(12);
    expect(entries + engines).toBe(12);
  });
});

describe('parseShape', () => {
  it('takes JSON with comments', () => {
    const text = `// a deployment\n${JSON.stringify(SHAPE)}`;
    expect(parseShape(text)).toEqual(SHAPE);
  });

  it.each([
    ['no object', 'entries', 'no object'],
    [
      'a field that is missing',
      JSON.stringify({...SHAPE, entries: undefined}),
      'entries',
    ],
    [
      'a field that is no number',
      JSON.stringify({...SHAPE, engines: '6'}),
      'engines',
    ],
    ['too few', JSON.stringify({...SHAPE, services: 1}), 'services'],
    ['a field that is none', JSON.stringify({...SHAPE, zones: 3}), 'zones'],
  ])('refuses %s', (_name, text, named) => {
    expect(() => parseShape(text)).toThrow(named);
  });

  it('takes all shapes that are kept', () => {
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
