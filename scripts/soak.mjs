/**
 * `npm run soak -- --seed S --minutes M`: runs the fault soak from seed S on, for M minutes or `--seeds N` runs, with
 * `--jobs J` runs at a time. Other flags are passed to each run. A run with findings keeps its directory under
 * `soak-runs/`, with the script, the requests that the findings name, and the logs of the routers.
 */
import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { rm } from 'node:fs/promises';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { prepare, repositoryRoot } from './lib/repository.mjs';

const msPerMinute = 60_000;
const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: 'Infinity' },
    minutes: { type: 'string', default: '1' },
    jobs: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '15' },
    routers: { type: 'string', default: '3' },
    callers: { type: 'string', default: '16' },
    'margin-ms': { type: 'string', default: '500' },
    script: { type: 'string' },
  },
});

const prepared = await prepare();
if (prepared !== 0) {
  process.exit(prepared);
}

/** Keeps the addresses of runs that are started at the same time on one machine apart. */
const hostNumber = randomInt(1, 255);

function runFlags(seed, job, directory) {
  const forwardedFlags = ['seconds', 'routers', 'callers', 'margin-ms', 'script'].filter(
    (name) => values[name] !== undefined,
  );
  return [
    `--seed=${seed}`,
    `--host-prefix=127.${20 + job}.${hostNumber}`,
    `--directory=${directory}`,
  ].concat(forwardedFlags.map((name) => `--${name}=${values[name]}`));
}

/** Resolves with the report of a run, or with one finding if the run itself failed. */
async function runSeed(seed, job) {
  const directory = join(repositoryRoot, 'soak-runs', String(seed));
  await rm(directory, { recursive: true, force: true });
  const program = join(repositoryRoot, 'dist', 'bluebell-soak.js');
  const child = spawn(process.execPath, [program, ...runFlags(seed, job, directory)], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const chunks = [];
  child.stdout.on('data', (chunk) => chunks.push(chunk));
  const code = await new Promise((resolve) => {
    child.once('close', resolve);
  });
  const lastLine = Buffer.concat(chunks).toString('utf8').trim().split('\n').at(-1);
  const report = lastLine.startsWith('{')
    ? JSON.parse(lastLine)
    : { seed, findings: [{ promise: 'run', detail: `the run ended with ${code}` }] };
  if (report.findings.length === 0) {
    await rm(directory, { recursive: true, force: true });
  }
  return report;
}

const endsAtMs = Date.now() + Number(values.minutes) * msPerMinute;
const firstSeed = Number(values.seed);
const endSeed = firstSeed + Number(values.seeds);
let nextSeed = firstSeed;
let requests = 0;
let fullestBudgetShare = 0;
const seedsWithFindings = [];

async function runJob(job) {
  while (nextSeed < endSeed && Date.now() < endsAtMs) {
    const seed = nextSeed;
    nextSeed += 1;
    const report = await runSeed(seed, job);
    requests += report.requests ?? 0;
    fullestBudgetShare = Math.max(fullestBudgetShare, report.fullestBudget?.share ?? 0);
    process.stdout.write(`${JSON.stringify(report)}\n`);
    if (report.findings.length > 0) {
      seedsWithFindings.push(seed);
    }
  }
}

await Promise.all(Array.from({ length: Number(values.jobs) }, (_none, job) => runJob(job)));
const result =
  seedsWithFindings.length === 0
    ? 'no finding'
    : `findings in seeds ${seedsWithFindings.join(', ')}`;
process.stdout.write(
  `${result}; seeds ${firstSeed} to ${nextSeed - 1}, ${requests} requests of callers; ` +
    `fullest budget of further attempts ${fullestBudgetShare.toFixed(2)}\n`,
);
process.exit(seedsWithFindings.length === 0 ? 0 : 1);
