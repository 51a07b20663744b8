/** Bundles the program of the users' platform into one file under target/, or another folder. */
import {build} from 'esbuild';
import {readdirSync} from 'node:fs';

/** Packages are taken from their sources, so that a bundle needs no build. */
const alias = Object.fromEntries(
  readdirSync('packages').map((name) => [
    `@lilacledge/${name}`,
    `./packages/${name}/src/index.ts`,
  ]),
);

// Its main file loads its parts by a function that a bundler does not see.
alias['jsonc-parser'] = 'jsonc-parser/lib/esm/main.js';

const [outdir = 'target'] = process.argv.slice(2);

await build({
  entryPoints: {lilacledged: 'platform/src/bin/lilacledged.ts'},
  outdir,
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  alias,
  external: ['bufferutil', 'utf-8-validate'],
  logLevel: 'warning',
});
