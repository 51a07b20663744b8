/** Writes the tsconfig files with the project references, from the dependencies of each package. */
import {readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {relative} from 'node:path';

const folders = [
  ...['packages', 'packages-private'].flatMap((parent) =>
    readdirSync(parent).map((name) => `${parent}/${name}`),
  ),
  'platform',
];
const manifests = folders.map((folder) => ({
  folder,
  ...JSON.parse(readFileSync(`${folder}/package.json`, 'utf8')),
}));
const folderOf = new Map(manifests.map(({name, folder}) => [name, folder]));

function writeJson(file, value) {
  writeFileSync(file, `${JSON.stringify(value, null, 2)}\n`);
}

for (const {folder, dependencies} of manifests) {
  const references = Object.keys(dependencies ?? {})
    .filter((name) => folderOf.has(name))
    .map((name) => ({path: relative(folder, folderOf.get(name))}));
  writeJson(`${folder}/tsconfig.json`, {
    extends: relative(folder, 'tsconfig.base.json'),
    compilerOptions: {rootDir: 'src', outDir: 'dist'},
    include: ['src'],
    exclude: ['src/**/__tests__'],
    references,
  });
}
const references = folders.map((path) => ({path}));
writeJson('tsconfig.json', {
  files: [],
  references: [...references, {path: 'tsconfig.tests.json'}],
});
const tests = JSON.parse(readFileSync('tsconfig.tests.json', 'utf8'));
writeJson('tsconfig.tests.json', {...tests, references});
