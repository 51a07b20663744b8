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

/**
 * Tests that run after the others and by themselves: their processes are held to a share of a
 * processor, which does less work beside other load, or they load the machine.
 */
const SEPARATE_TESTS = [
  'platform/src/__tests__/crowdedEntry.test.ts',
  'platform/src/__tests__/entryMemory.test.ts',
];

const TESTS = [
  'packages*/*/src/**/__tests__/**/*.test.ts',
  'platform/src/__tests__/**/*.test.ts',
  'platform/experiments/src/__tests__/**/*.test.ts',
];

const TIMEOUTS = {testTimeout: 60_000, hookTimeout: 60_000};

export default defineConfig({
  resolve: {alias: sourceAliases()},
  test: {
    maxWorkers: 4,
    projects: [
      {
        extends: true,
        test: {
          ...TIMEOUTS,
          name: 'tests',
          include: TESTS,
          exclude: SEPARATE_TESTS,
          sequence: {groupOrder: 0},
        },
      },
      {
        extends: true,
        test: {
          ...TIMEOUTS,
          name: 'separate',
          include: SEPARATE_TESTS,
          fileParallelism: false,
          sequence: {groupOrder: 1},
        },
      },
    ],
  },
});
