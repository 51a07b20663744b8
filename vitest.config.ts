import {readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {defineConfig} from 'vitest/config';

const root = fileURLToPath(new URL('.', import.meta.url));

/** Maps each workspace package to its sources, so that unit tests need no build. */
function sourceAliases(): Record<string, string> {
  const aliases: Record<string, string> = {};
  for (const folder of ['packages', 'packages-private']) {
    for (const name of readdirSync(`${root}${folder}`)) {
      aliases[`@lilacledge/${name}`] = `${root}${folder}/${name}/src/index.ts`;
    }
  }
  aliases['@lilacledge/platform-standins'] =
    `${root}platform/standins/src/index.ts`;
  aliases['@lilacledge/platform'] = `${root}platform/src/index.ts`;
  return aliases;
}

export default defineConfig({
  resolve: {alias: sourceAliases()},
  test: {
    include: [
      'packages*/*/src/**/__tests__/**/*.test.ts',
      'platform/src/__tests__/**/*.test.ts',
      'platform/experiments/src/__tests__/**/*.test.ts',
    ],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
  },
});
