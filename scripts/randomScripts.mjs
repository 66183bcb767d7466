/**
 * `npm run random-scripts -- --minutes N --seed S`: runs random fault scripts against real entries and agents, from
 * seed S on, for N minutes. Prints the seed and the shrunk script of the first failure.
 */
import { spawn } from 'node:child_process';
import { parseArgs } from 'node:util';
import { repositoryRoot } from './lib/repository.mjs';

const program = 'packages/scenarios/__tests__/support/runRandomScripts.ts';
/** Each process runs only this many seeds, which bounds the memory that the runs leave allocated. */
const seedsPerProcess = 4;
const msPerMinute = 60_000;
const { values } = parseArgs({
  options: {
    minutes: { type: 'string', default: '1' },
    seed: { type: 'string', default: '1' },
  },
});

function runSeeds(firstSeed) {
  const child = spawn(
    process.execPath,
    ['--import=tsx', '--conditions=bluebell-source', program]
      .concat(['--seed', String(firstSeed)])
      .concat(['--seeds', String(seedsPerProcess)]),
    { cwd: repositoryRoot, stdio: ['ignore', 'pipe', 'inherit'] },
  );
  const chunks = [];
  child.stdout.on('data', (chunk) => chunks.push(chunk));
  return new Promise((resolve) => {
    child.once('close', (code) => resolve({ code, text: Buffer.concat(chunks).toString('utf8') }));
  });
}

/** Adds the counts from the last output line of a process, which is JSON. */
function addCounts(totals, text) {
  const counts = JSON.parse(text.trim().split('\n').at(-1));
  Object.entries(counts).forEach(([name, count]) => {
    totals[name] = (totals[name] ?? 0) + count;
  });
}

const endsAtMs = Date.now() + Number(values.minutes) * msPerMinute;
const firstSeed = Number(values.seed);
const totals = {};
let seed = firstSeed;
let exitCode = 0;
while (exitCode === 0 && Date.now() < endsAtMs) {
  const { code, text } = await runSeeds(seed);
  exitCode = code ?? 1;
  if (exitCode === 0) {
    addCounts(totals, text);
    seed += seedsPerProcess;
  } else {
    process.stdout.write(text);
  }
}
const result =
  exitCode === 0 ? 'no failure' : `failure in seeds ${seed} to ${seed + seedsPerProcess - 1}`;
process.stdout.write(
  `${result}; clean: seeds ${firstSeed} to ${seed - 1}, ${JSON.stringify(totals)}\n`,
);
process.exit(exitCode);
