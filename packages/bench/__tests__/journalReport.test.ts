import { mkdtemp, readFile, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { readJournal } from '../src/journal/journalEntries';
import { runJournalReport } from '../src/journal/journalReport';
import { computeLoss } from '../src/journal/worthCharts';

const day = (name: string, worth: number, rules = {}) => ({
  name,
  G: worth,
  parts: [
    ['whole day', 0.4, 0.9],
    ['worst windows', 0.6, 0.25],
  ],
  prices: [['machine-seconds', 10, 0.02]],
  rules,
});

const entry = (id: string, at: string, over = {}) => ({
  id,
  at: [at, at],
  cmd: 'score',
  site: 'small-site',
  days: [day('quiet-1', 0.9), day('trouble-1', 0.5)],
  ...over,
});

async function writeJournal(entries: object[]): Promise<string> {
  const directory = await mkdtemp(join(tmpdir(), 'bluebell-journal-'));
  await Promise.all(
    entries.map((one, index) =>
      writeFile(join(directory, `${9 - index}.json`), JSON.stringify(one)),
    ),
  );
  return directory;
}

test('entries are ordered by start time, and an aborted day has a worth of 0', async (t) => {
  const journal = await writeJournal([
    entry('first', '2026-01-01T10:00:00Z'),
    entry('second', '2026-01-01T11:00:00Z', { days: [{ name: 'quiet-1' }] }),
    { v: 1, note: 'no entry' },
  ]);
  const entries = await readJournal(journal);
  t.deepEqual(
    entries.map(({ id }) => id),
    ['first', 'second'],
  );
  t.like(entries[1]?.days[0], { worth: 0, priceLoss: 0, hasBrokenRule: false });
});

test('losses of a day are computed for each part and for prices', async (t) => {
  const [first] = await readJournal(await writeJournal([entry('a', '2026-01-01T10:00:00Z')]));
  const lossy = first?.days[0];
  if (lossy === undefined) {
    t.fail('no day');
    return;
  }
  const losses = ['whole day', 'worst windows', 'prices'].map((name) => computeLoss(lossy, name));
  t.deepEqual(
    losses.map((loss) => loss.toFixed(2)),
    ['0.04', '0.45', '0.02'],
  );
});

test('the report is one page with charts for each site, and counts days with broken rules', async (t) => {
  const journal = await writeJournal([
    entry('aaaa', '2026-01-01T10:00:00Z'),
    entry('bbbb', '2026-01-01T11:00:00Z', { days: [day('quiet-1', 0, { DRAIN: 1 })] }),
    entry('cccc', '2026-01-01T12:00:00Z', { cmd: 'run' }),
  ]);
  const out = join(journal, 'report.html');
  const { text } = await runJournalReport({ journal, out });
  t.regex(text, /small-site \| 2 +\| bbbb \| 0\.000 +\| 1/);
  const page = await readFile(out, 'utf8');
  t.is(page.match(/<svg/g)?.length, 2);
  t.regex(page, /worth by day and round/);
  t.notRegex(page, /cccc/);
});
