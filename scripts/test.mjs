/**
 * `npm test`: installs what is missing, builds the binaries and runs the tests, those named `.alone.test.ts` after all
 * others and one at a time. Arguments go to ava. Tests listed in KNOWN-RED.txt may fail: they are printed at the end, and do
 * not count.
 */
import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import { readKnownRed } from './lib/knownRed.mjs';
import { prepare, repositoryRoot } from './lib/repository.mjs';
import { createTapReport } from './lib/tapReport.mjs';
import { judgeTests } from './lib/testVerdict.mjs';

function print(line) {
  process.stdout.write(`${line}\n`);
}

/** Runs ava and prints its report as it arrives; `--tap` is its format in any case. */
async function runTests(args) {
  const report = createTapReport();
  const child = spawn('npx', ['--no-install', 'ava', '--tap', ...args], {
    cwd: repositoryRoot,
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const closed = new Promise((resolve, reject) => {
    child.once('error', reject);
    child.once('close', (code) => resolve(code ?? 1));
  });
  createInterface({ input: child.stdout }).on('line', (line) => {
    report.addLine(line);
    print(line);
  });
  return { report, exitCode: await closed };
}

const prepared = await prepare();
if (prepared !== 0) {
  process.exit(prepared);
}
const args = process.argv.slice(2).filter((arg) => arg !== '--tap');
const aloneConfig = ['--config', 'ava.alone.config.js'];
const aloneSuffix = '.alone.test.ts';
const files = args.filter((arg) => arg.endsWith('.ts'));
const options = args.filter((arg) => !arg.endsWith('.ts'));
const aloneFiles = files.filter((file) => file.endsWith(aloneSuffix));
const otherFiles = files.filter((file) => !file.endsWith(aloneSuffix));
const verdicts = [];
if (files.length === 0 || otherFiles.length > 0) {
  verdicts.push(judgeTests(await runTests([...options, ...otherFiles]), readKnownRed()));
}
if (files.length === 0 || aloneFiles.length > 0) {
  const tests = await runTests([...aloneConfig, ...options, ...aloneFiles]);
  verdicts.push(judgeTests(tests, readKnownRed()));
}
const knownFailures = verdicts.flatMap((verdict) => verdict.knownFailures);
const problems = verdicts.flatMap((verdict) => verdict.problems);
knownFailures.forEach(({ title, cause, issue }) =>
  print(`# known red: ${title} (${cause}; ${issue})`),
);
problems.forEach((problem) => print(`# ${problem}`));
process.exit(problems.length === 0 ? 0 : 1);
