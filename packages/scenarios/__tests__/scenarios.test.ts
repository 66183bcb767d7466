/**
 * Runs each file of `scenarios/`, and once more without each safeguard that it names: it must fail
 * then. `SCENARIO=<part of a name>` runs those files only.
 */
import { readdirSync, readFileSync } from 'node:fs';
import test from 'ava';
import { formatFindings } from '@bluebellhitch/shared';
import { parseScenario, runScenario, type Scenario, type World } from '../src';
import { decisionRecords } from './support/decisionRecords';
import { installPausedClock } from './support/pausedClock';

const directory = new URL('../scenarios/', import.meta.url);
const wanted = process.env.SCENARIO ?? '';

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
  .filter((fileName) => fileName.endsWith('.yaml') && fileName.includes(wanted))
  .forEach((fileName) => {
    const title = fileName.replace('.yaml', '');
    test.serial(title, async (t) => {
      t.timeout(60_000);
      const scenario = read(fileName);
      const onEnd = (world: World, failures: readonly unknown[]) =>
        failures.length > 0 && t.log(decisionRecords(world).join('\n'));
      t.deepEqual(await runScenario({ scenario, clock: installPausedClock(), onEnd }), []);
      for (const safeguard of scenario.failsWithout) {
        const without = [safeguard];
        const failures = await runScenario({ scenario, clock: installPausedClock(), without });
        t.log(`without ${safeguard}: ${failures.map(({ message }) => message).join('; ')}`);
        t.true(failures.length > 0, `holds without ${safeguard} as well`);
      }
    });
  });
