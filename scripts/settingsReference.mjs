/**
 * Generates docs/settings.md from the schemas of settings and configuration. With
 * `--check`, fails if the page is out of date.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {
  entrySettingsSchema,
  fleetConfigSchema,
  sidecarSettingsSchema,
} from '@lilacledge/config';
import {MECHANISMS} from '@lilacledge/relay';
import {format, resolveConfig} from 'prettier';
import {z} from 'zod';

const PAGE = 'docs/settings.md';
const SOURCES = ['processSettings.ts', 'fleetConfig.ts'].map((name) =>
  readFileSync(`packages/config/src/${name}`, 'utf8'),
);

/** Returns the doc comment of a field in the source of its schema. */
function commentOf(field) {
  const pattern = new RegExp(`/\\*\\*((?:(?!\\*/)[\\s\\S])*)\\*/\\s*${field}:`);
  for (const source of SOURCES) {
    const match = pattern.exec(source);
    if (match !== null) return match[1].replace(/\s*\n\s*\*\s*/g, ' ').trim();
  }
  return '';
}

function rowsOf(schema, prefix) {
  const variants = schema.anyOf ?? schema.oneOf;
  if (variants !== undefined && variants.some(({properties}) => properties)) {
    return variants.flatMap((variant) => rowsOf(variant, prefix));
  }
  if (schema.items !== undefined && schema.items.properties !== undefined) {
    return rowsOf(schema.items, `${prefix}[]`);
  }
  if (schema.additionalProperties?.anyOf !== undefined) {
    return rowsOf(schema.additionalProperties, `${prefix}.NAME`);
  }
  if (schema.properties === undefined) return [];
  return Object.entries(schema.properties).flatMap(([name, field]) => {
    const path = prefix === '' ? name : `${prefix}.${name}`;
    const nested = rowsOf(field, path);
    if (nested.length > 0) return nested;
    const isRequired = (schema.required ?? []).includes(name);
    return [
      `| \`${path}\` | ${typeOf(field)} | ${defaultOf(field, isRequired)} | ${commentOf(name)} |`,
    ];
  });
}

function typeOf(field) {
  if (field.const !== undefined) return `\`${field.const}\``;
  if (field.enum !== undefined)
    return field.enum.map((v) => `\`${v}\``).join(', ');
  const range = [
    field.minimum !== undefined ? `at least ${field.minimum}` : '',
    field.exclusiveMinimum !== undefined
      ? `above ${field.exclusiveMinimum}`
      : '',
    field.exclusiveMaximum !== undefined
      ? `below ${field.exclusiveMaximum}`
      : '',
    field.maximum !== undefined && field.maximum < 2 ** 53 - 1
      ? `at most ${field.maximum}`
      : '',
    field.minLength !== undefined
      ? `at least ${field.minLength} characters`
      : '',
  ].filter((text) => text !== '');
  return [field.type ?? 'value', ...range].join(', ');
}

function defaultOf(field, isRequired) {
  if (field.default !== undefined)
    return `\`${JSON.stringify(field.default)}\``;
  return isRequired ? 'required' : 'none';
}

function table(title, schema) {
  const json = z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'});
  const rows = [...new Set(rowsOf(json, ''))];
  return [
    `## ${title}`,
    '',
    '| field | allowed | default | meaning |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

/** Returns the table of mechanism switches, from the list in `@lilacledge/relay`. */
function switchTable() {
  const rows = Object.entries(MECHANISMS).map(
    ([name, meaning]) => `| \`${name}\` | \`true\` | ${meaning} |`,
  );
  return [
    '## Switches of decisions',
    '',
    'On the users’ platform, `deploy/switches.jsonc` (`--switches FILE`). One that is',
    'unknown, or neither `true` nor `false`, ends the process at its start with one',
    'line; `process.started` names those that are off. For measurements: `npm run',
    'rounds` takes `NAME=COMMIT:SWITCH,...` as a variant with these off.',
    '',
    '| switch | default | meaning |',
    '| --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
}

const text = [
  '# Settings and configuration',
  '',
  'Written by `node scripts/settingsReference.mjs` from the schemas; CI fails when',
  'the two differ. Both are JSON with comments. `lilacledge config check FILE`',
  'checks either, offline.',
  '',
  table('`lilacledged entry`', entrySettingsSchema),
  table('`lilacledged sidecar`', sidecarSettingsSchema),
  table('The operators’ configuration', fleetConfigSchema),
  switchTable(),
].join('\n');
const options = await resolveConfig(PAGE);
const page = await format(text, {...options, parser: 'markdown'});

if (process.argv.includes('--check')) {
  if (readFileSync(PAGE, 'utf8') !== page) {
    console.error(
      `${PAGE} is out of date: run node scripts/settingsReference.mjs`,
    );
    process.exit(1);
  }
} else {
  writeFileSync(PAGE, page);
}
