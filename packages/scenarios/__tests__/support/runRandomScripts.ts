/** Runs random scripts, started by `scripts/randomScripts.mjs`. The last line of output has their counts as JSON. */
import { parseArgs } from 'node:util';
import { findFailure } from './randomScripts';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
  },
});
const firstSeed = Number(values.seed);
const endSeed = firstSeed + Number(values.seeds);
const runsPerSeed = 50;
const counts = { scripts: 0, operations: 0, requests: 0, marked: 0 };

let failure: string | undefined;
for (let seed = firstSeed; seed < endSeed && failure === undefined; seed += 1) {
  failure = await findFailure({
    seed,
    runCount: runsPerSeed,
    onRun: (script) => {
      const sends = script.filter((operation) => operation.kind === 'send');
      counts.scripts += 1;
      counts.operations += script.length;
      counts.requests += sends.length;
      counts.marked += sends.filter(({ key }) => key !== undefined).length;
    },
  });
}
process.stdout.write(`${failure ?? 'no failure'}\n${JSON.stringify(counts)}\n`);
process.exit(failure === undefined ? 0 : 1);
