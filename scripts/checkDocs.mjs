/** Fails when a page links to a file that is not there. */
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

const broken = [];
for (const page of ['README.md', 'CHANGELOG.md', ...pages('docs')]) {
  if (!existsSync(page)) {
    broken.push(`${page} is missing`);
    continue;
  }
  for (const match of readFileSync(page, 'utf8').matchAll(LINK)) {
    const target = join(dirname(page), match[1]);
    if (!existsSync(target)) broken.push(`${page}: ${match[1]} is missing`);
  }
}
if (broken.length > 0) {
  console.error(broken.join('\n'));
  process.exit(1);
}
console.log('All links between pages hold.');
