/**
 * `npm run regression -- --sites DIRECTORY [--program FILE] [--before ENTRY]`: for each current site, compares the
 * worth by day of the last score in the journal with that of the score before it. With `--program`, the users' bench
 * runs each site first, one after the other. Exits with 1 if a gate fails or a site drops by more than scores vary
 * between runs.
 */
import { spawnSync } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';

/** Site files, relative to the folder of the users' pages. The oldest site left when the large one passed its gate. */
const currentSites = [
  'large/hvst-bonds-large.toml',
  'further/kundura-coop.toml',
  'further-grown/kundura-coop-grown.toml',
  'grown/hvst-bonds-grown.toml',
  'grown/sahlat-fleet-grown.toml',
];
/** Single scores of one site vary by this much on the same code. */
const scoreVariation = 0.03;
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

function runSite(file) {
  const args = ['score', join(values.sites, file), '--jobs', String(jobs)];
  const reason = 'regression run of the sites in force';
  const { status } = spawnSync(values.program, [...args, '--why', reason], { stdio: 'inherit' });
  if (status !== 0) {
    throw new Error(`the bench ended with status ${status} on ${file}`);
  }
}

/** A quick score covers fewer days. */
const daysInFullScore = 6;

/** Full scores of a site on committed sources, oldest first. */
function scoresOf(site) {
  return readdirSync(values.journal)
    .filter((name) => name.endsWith('.json'))
    .map((name) => JSON.parse(readFileSync(join(values.journal, name), 'utf8')))
    .filter((entry) => entry.cmd === 'score' && entry.site === site && !entry.edited_meanwhile)
    .filter(({ dirty, days }) => !dirty && standardDays(days).length >= daysInFullScore)
    .sort((left, right) => left.at[0].localeCompare(right.at[0]));
}

function meanWorthInTrouble({ days }) {
  const worth = standardDays(days)
    .filter(({ slot }) => slot !== 'quiet')
    .map(({ G: value }) => value);
  return worth.reduce((sum, value) => sum + value, 0) / worth.length;
}

/** The days without the one that was generated for the run. */
function standardDays(days = []) {
  return days.filter(({ name }) => !name.startsWith('fresh-'));
}

function formatScore(label, score) {
  const days = standardDays(score.days).map(({ name, G: worth }) => `${name} ${worth.toFixed(3)}`);
  const gate = score.figures.gate === 1 ? 'passed' : 'failed';
  const mean = meanWorthInTrouble(score).toFixed(3);
  return `  ${label} (${score.id}): ${days.join(', ')}; mean in trouble ${mean}, gate ${gate}`;
}

/** Prints both scores; returns whether the last one passes its gate and has not dropped. */
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
    print(formatScore('before', before));
  }
  print(formatScore('last', last));
  const drop = before === undefined ? 0 : meanWorthInTrouble(before) - meanWorthInTrouble(last);
  return last.figures.gate === 1 && drop <= scoreVariation;
}

if (values.program !== undefined) {
  currentSites.forEach(runSite);
}
const hasPassed = currentSites.map(compare).every(Boolean);
process.exitCode = hasPassed ? 0 : 1;
