/** Vitest reporter that writes the outcome of each test to `OUTCOMES_FILE`, for `runTests.mjs`. */
import {writeFileSync} from 'node:fs';
import {relative} from 'node:path';

export default class OutcomeReporter {
  onTestRunEnd(modules, unhandledErrors) {
    const outcomes = {};
    const brokenFiles = [];
    for (const module of modules) {
      const file = relative(process.cwd(), module.moduleId);
      if (module.errors().length > 0) brokenFiles.push(file);
      for (const test of module.children.allTests()) {
        outcomes[`${file} > ${test.fullName}`] = test.result().state;
      }
    }
    const report = {
      outcomes,
      brokenFiles,
      unhandledErrors: unhandledErrors.length,
    };
    writeFileSync(process.env.OUTCOMES_FILE, JSON.stringify(report));
  }
}
