/**
 * `npm run regression -- --sites DIRECTORY [--program FILE] [--before ENTRY]`: worth by day of the sites in force, the
 * journal's last score beside the one before. With `--program` the users' bench plays each site first, one after the
 * other, and exits with 1 where a gate fails or a site falls by more than a run scatters.
 */
import { spawnSync } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';

/** Site files below the directory of the users' pages. The oldest left when the large one passed its gate. */
const sitesInForce = [
  'large/hvst-bonds-large.toml',
  'further/kundura-coop.toml',
  'further-grown/kundura-coop-grown.toml',
  'grown/hvst-bonds-grown.toml',
  'grown/sahlat-fleet-grown.toml',
];
/** Single scores of one site differ by this much on the same code. */
const scatter = 0.03;
const jobs = 2;

const { values } = parseArgs({
  options: {
    sites: { type: 'string' },
    program: { type: 'string' },
    before: { type: 'string' },
    journal: { type: 'string', default: 'journal' },
  },
});

const print = (line) => process.stdout.write(`${line}\n`);

function play(file) {
  const args = ['score', join(values.sites, file), '--jobs', String(jobs)];
  const why = 'regression run of the sites in force';
  const { status } = spawnSync(values.program, [...args, '--why', why], { stdio: 'inherit' });
  if (status !== 0) {
    throw new Error(`the bench ended with ${status} on ${file}`);
  }
}

/** A quick score plays fewer days. */
const daysOfAWholeScore = 6;

/** Whole scores of a site with committed sources, the oldest first. */
function scoresOf(site) {
  return readdirSync(values.journal)
    .filter((name) => name.endsWith('.json'))
    .map((name) => JSON.parse(readFileSync(join(values.journal, name), 'utf8')))
    .filter((entry) => entry.cmd === 'score' && entry.site === site && !entry.edited_meanwhile)
    .filter(({ dirty, days }) => !dirty && standardDays(days).length >= daysOfAWholeScore)
    .sort((left, right) => left.at[0].localeCompare(right.at[0]));
}

function meanInTrouble({ days }) {
  const worth = standardDays(days)
    .filter(({ slot }) => slot !== 'quiet')
    .map(({ G: value }) => value);
  return worth.reduce((sum, one) => sum + one, 0) / worth.length;
}

/** Without the day that was drawn for the run. */
function standardDays(days = []) {
  return days.filter(({ name }) => !name.startsWith('fresh-'));
}

function rowOf(label, score) {
  const days = standardDays(score.days).map(({ name, G: worth }) => `${name} ${worth.toFixed(3)}`);
  const gate = score.figures.gate === 1 ? 'passed' : 'failed';
  const mean = meanInTrouble(score).toFixed(3);
  return `  ${label} (${score.id}): ${days.join(', ')}; mean in trouble ${mean}, gate ${gate}`;
}

/** Whether the site's last score passes its gate and has not fallen. */
function compare(file) {
  const site = file.replace(/^.*\/|\.toml$/g, '');
  const scores = scoresOf(site);
  const last = scores.at(-1);
  const before = scores.findLast(({ id }) => id !== last?.id && id === (values.before ?? id));
  print(site);
  if (last === undefined) {
    print('  no score');
    return false;
  }
  if (before !== undefined) {
    print(rowOf('before', before));
  }
  print(rowOf('last', last));
  const fall = before === undefined ? 0 : meanInTrouble(before) - meanInTrouble(last);
  return last.figures.gate === 1 && fall <= scatter;
}

if (values.program !== undefined) {
  sitesInForce.forEach(play);
}
const isGood = sitesInForce.map(compare).every(Boolean);
process.exitCode = isGood ? 0 : 1;
