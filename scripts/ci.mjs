/**
 * `.ci/run`: runs the tests, then checks formatting, lint rules and types. All steps run, even if an earlier one
 * fails. The last line is `N passed, N failed`, counted from ava's own report.
 */
import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import { findListProblems, readKnownRed } from './lib/knownRed.mjs';
import { repositoryRoot, run } from './lib/repository.mjs';
import { createTapReport } from './lib/tapReport.mjs';
import { judgeTests } from './lib/testVerdict.mjs';

const checks = [
  { name: 'formatting', args: ['prettier', '--check', '.'] },
  { name: 'lint rules', args: ['eslint', '.'] },
  { name: 'types', args: ['tsc', '--noEmit'] },
];

function print(line) {
  process.stdout.write(`${line}\n`);
}

async function runTests() {
  const report = createTapReport();
  const child = spawn('npm', ['test', '--', '--tap'], {
    cwd: repositoryRoot,
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const closed = new Promise((resolve) => {
    child.once('close', (code) => resolve(code ?? 1));
  });
  createInterface({ input: child.stdout }).on('line', (line) => {
    report.addLine(line);
    print(line);
  });
  return { report, exitCode: await closed };
}

async function runChecks() {
  const failedChecks = [];
  for (const { name, args } of checks) {
    print(`\n== ${name}`);
    if ((await run('npx', ['--no-install', ...args])) !== 0) {
      failedChecks.push(name);
    }
  }
  return failedChecks;
}

const knownRed = readKnownRed();
print('== tests');
const tests = await runTests();
const failedChecks = await runChecks();
const { newFailures, knownFailures, problems } = judgeTests(tests, knownRed);
problems.push(...findListProblems(knownRed));

print('');
knownFailures.forEach(({ title, cause, issue }) =>
  print(`known red: ${title} (${cause}; ${issue})`),
);
knownRed
  .filter(({ title }) => tests.report.passed.includes(title))
  .forEach(({ title }) => print(`passes again, take it out of KNOWN-RED.txt: ${title}`));
tests.report.skipped.forEach((title) => print(`not run: ${title}`));
problems.forEach(print);
failedChecks.forEach((name) => print(`check failed: ${name}`));
print(`${tests.report.passed.length} passed, ${newFailures.length} failed`);
process.exit(problems.length === 0 && failedChecks.length === 0 ? 0 : 1);
