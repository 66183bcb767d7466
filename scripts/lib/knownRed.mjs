/** KNOWN-RED.txt: tests that fail for a known fault, one per line as `title | cause | issue`. */
import { existsSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { repositoryRoot } from './repository.mjs';

const knownRedLimit = 3;
/** Issues whose tests do not count towards the limit, as their reporters asked. */
const unlimitedIssues = ['issue 72'];

/** Reads the list; it is empty if the file does not exist. */
export function readKnownRed(path = join(repositoryRoot, 'KNOWN-RED.txt')) {
  if (!existsSync(path)) {
    return [];
  }
  return readFileSync(path, 'utf8')
    .split('\n')
    .filter((line) => line.trim() !== '' && !line.startsWith('#'))
    .map((line) => {
      const [title = '', cause = '', issue = ''] = line.split(' | ').map((part) => part.trim());
      return { title, cause, issue };
    });
}

/** What is wrong with the list as a whole. */
export function findListProblems(knownRed) {
  const limited = knownRed.filter(({ issue }) => !unlimitedIssues.includes(issue));
  return limited.length > knownRedLimit
    ? [`KNOWN-RED.txt holds ${limited.length} tests; ${knownRedLimit} at most`]
    : [];
}
