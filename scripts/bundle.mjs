/** Bundles the platform program into one file in `target/`, or in the folder given as argument. */
import {build} from 'esbuild';
import {readdirSync} from 'node:fs';

/** Resolves workspace packages to their sources, so that no prior build is needed. */
const alias = Object.fromEntries(
  readdirSync('packages').map((name) => [
    `@lilacledge/${name}`,
    `./packages/${name}/src/index.ts`,
  ]),
);

// Its UMD main file loads modules by a wrapped `require`, which esbuild can't resolve.
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
