/** Random scripts for a given time, started by `scripts/soak.mjs`. */
import { parseArgs } from 'node:util';
import { findFailure } from './randomScripts';

const { values } = parseArgs({
  options: { minutes: { type: 'string' }, seed: { type: 'string' } },
});
const minutes = Number(values.minutes ?? 1);
const firstSeed = Number(values.seed ?? 1);
const runsPerSeed = 50;
const msPerMinute = 60_000;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const endsAtMs = Date.now() + minutes * msPerMinute;
const counts = { runs: 0, operations: 0, requests: 0 };
let seed = firstSeed;
let failure: string | undefined;
while (failure === undefined && Date.now() < endsAtMs) {
  failure = await findFailure({
    seed,
    runCount: runsPerSeed,
    onRun: (script) => {
      counts.runs += 1;
      counts.operations += script.length;
      counts.requests += script.filter(({ kind }) => kind === 'send').length;
    },
  });
  seed += 1;
}
print(failure ?? 'no failure');
print(
  `seeds ${firstSeed} to ${seed - 1}: ${counts.runs} scripts, ${counts.operations} operations, ` +
    `${counts.requests} requests`,
);
process.exit(failure === undefined ? 0 : 1);
