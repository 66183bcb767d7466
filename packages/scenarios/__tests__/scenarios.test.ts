/**
 * Runs each scenario file, and again with each of the safeguards in its `failsWithout` disabled: it must
 * fail then. `SCENARIO=<part of a name>` selects files by name.
 */
import { readdirSync, readFileSync } from 'node:fs';
import test from 'ava';
import { formatFindings } from '@bluebellhitch/shared';
import { parseScenario, runScenario, type Scenario, type World } from '../src';
import { decisionRecords } from './support/decisionRecords';
import { installPausedClock } from './support/pausedClock';

const directory = new URL('../scenarios/', import.meta.url);
const nameFilter = process.env.SCENARIO ?? '';

function read(fileName: string): Scenario {
  const parsed = parseScenario(readFileSync(new URL(fileName, directory), 'utf8'));
  return parsed.match(
    (scenario) => scenario,
    (findings) => {
      throw new Error(`${fileName}\n${formatFindings(findings)}`);
    },
  );
}

readdirSync(directory)
  .filter((fileName) => fileName.endsWith('.yaml') && fileName.includes(nameFilter))
  .forEach((fileName) => {
    const title = fileName.replace('.yaml', '');
    test.serial(title, async (t) => {
      t.timeout(60_000);
      const scenario = read(fileName);
      const onEnd = (world: World, failures: readonly unknown[]) =>
        failures.length > 0 && t.log(decisionRecords(world).join('\n'));
      t.deepEqual(await runScenario({ scenario, clock: installPausedClock(), onEnd }), []);
      for (const safeguard of scenario.failsWithout) {
        const disabledSafeguards = [safeguard];
        const failures = await runScenario({
          scenario,
          clock: installPausedClock(),
          disabledSafeguards,
        });
        t.log(`without ${safeguard}: ${failures.map(({ message }) => message).join('; ')}`);
        t.true(failures.length > 0, `the scenario passes without ${safeguard} as well`);
      }
    });
  });
