/** Fails if a documentation page links to a missing file or names an unknown command. */
import {execFileSync} from 'node:child_process';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';

const LINK = /\]\((?!https?:|#|mailto:)([^)#\s]+)(#[^)]*)?\)/g;

function listPages(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return listPages(path);
    return entry.name.endsWith('.md') ? [path] : [];
  });
}

/** Commands in pages, which must exist: `npm run X` and `lilacledge X`. */
const NPM_COMMAND = /npm run ([a-z:]+)/g;
const CLI_COMMAND = /`lilacledge ((?:config )?[a-z]+)/g;
const scripts = JSON.parse(readFileSync('package.json', 'utf8')).scripts;

/** Runs the command by the link that `npm install` creates, as users do. */
function readCliHelp(...args) {
  const binary = 'node_modules/.bin/lilacledge';
  return execFileSync(binary, [...args, '--help'], {encoding: 'utf8'});
}

const topHelp = readCliHelp();
const configHelp = readCliHelp('config');

function missingCommands(text) {
  const missing = [];
  for (const [, name] of text.matchAll(NPM_COMMAND)) {
    if (!(name in scripts)) missing.push(`npm run ${name}`);
  }
  for (const [, command] of text.matchAll(CLI_COMMAND)) {
    const words = command.split(' ');
    const help = words.length > 1 ? configHelp : topHelp;
    if (!new RegExp(`^  ${words.at(-1)}\\b`, 'm').test(help)) {
      missing.push(`lilacledge ${command}`);
    }
  }
  return missing;
}

const problems = [];
for (const page of ['README.md', 'CHANGELOG.md', ...listPages('docs')]) {
  if (!existsSync(page)) {
    problems.push(`${page} is missing`);
    continue;
  }
  const text = readFileSync(page, 'utf8');
  for (const command of missingCommands(text)) {
    problems.push(`${page}: ${command} is no command`);
  }
  for (const match of text.matchAll(LINK)) {
    const target = join(dirname(page), match[1]);
    if (!existsSync(target)) problems.push(`${page}: ${match[1]} is missing`);
  }
}
if (problems.length > 0) {
  console.error(problems.join('\n'));
  process.exit(1);
}
console.log('All links between pages hold, and all commands they name exist.');
