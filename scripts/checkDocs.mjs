/** Fails when a page links to a file or names a command that is not there. */
import {execFileSync} from 'node:child_process';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';

const LINK = /\]\((?!https?:|#|mailto:)([^)#\s]+)(#[^)]*)?\)/g;

function pages(folder) {
  return readdirSync(folder, {withFileTypes: true}).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return pages(path);
    return entry.name.endsWith('.md') ? [path] : [];
  });
}

/** Commands that pages name must be there: `npm run X`, `lilacledge X`. */
const NPM_COMMAND = /npm run ([a-z:]+)/g;
const CLI_COMMAND = /`lilacledge ((?:config )?[a-z]+)/g;
const scripts = JSON.parse(readFileSync('package.json', 'utf8')).scripts;

/** Through the link that an install makes, as a newcomer runs it. */
function cliHelp(...args) {
  const binary = 'node_modules/.bin/lilacledge';
  return execFileSync(binary, [...args, '--help'], {encoding: 'utf8'});
}

const topHelp = cliHelp();
const configHelp = cliHelp('config');

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

const broken = [];
for (const page of ['README.md', 'CHANGELOG.md', ...pages('docs')]) {
  if (!existsSync(page)) {
    broken.push(`${page} is missing`);
    continue;
  }
  const text = readFileSync(page, 'utf8');
  for (const command of missingCommands(text)) {
    broken.push(`${page}: ${command} is no command`);
  }
  for (const match of text.matchAll(LINK)) {
    const target = join(dirname(page), match[1]);
    if (!existsSync(target)) broken.push(`${page}: ${match[1]} is missing`);
  }
}
if (broken.length > 0) {
  console.error(broken.join('\n'));
  process.exit(1);
}
console.log('All links between pages hold, and all commands they name exist.');
