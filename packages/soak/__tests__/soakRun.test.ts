import { randomInt } from 'node:crypto';
import { mkdtempSync, readdirSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { runSoak, type SoakReport } from '@bluebellhitch/soak';

const repositoryRoot = join(import.meta.dirname, '..', '..', '..');

/**
 * Seeds that have failed before, as regression tests. 5 and 25: SIGHUP ended a router that was starting. 513: a router
 * that started during a store outage trusted the backup from which the store was restored.
 */
const seeds = [5, 25, 513, 715, 733];

/** Another run of the tests on the same machine must not get these addresses, nor answer at them. */
const hostPrefix = `127.${randomInt(64, 255)}.${randomInt(1, 255)}`;

interface Run {
  seed: number;
  routerCount: number;
  callerCount: number;
  durationMs?: number;
  script?: 'attempts' | 'crashes' | 'versions' | 'leavers' | 'silences';
}

const streamRoutes = ['resumed', 'once'];

const routerPath = join(repositoryRoot, 'target', 'bluebell-router.mjs');

async function play(run: Run, programPath = routerPath): Promise<SoakReport> {
  return runSoak({
    durationMs: 15_000,
    ...run,
    hostPrefix,
    programPath,
    exitWithParentPath: join(repositoryRoot, 'scripts', 'lib', 'exitWithParent.mjs'),
    directory: join(mkdtempSync(join(tmpdir(), 'bluebell-soak-')), String(run.seed)),
    // One second more than the default, because the machine of a CI run may be busy.
    marginMs: 1_500,
  });
}

seeds.forEach((seed) => {
  test.serial(
    `router processes keep their promises under the script of seed ${seed}`,
    async (t) => {
      t.timeout(90_000);
      const report = await play({ seed, routerCount: 3, callerCount: 12 });
      t.deepEqual(report.findings, []);
      t.true(report.requests > 200, `${report.requests} requests`);
    },
  );
});

test.serial(
  'a request that crashes servers reaches few more of them after a restore and a restart of all routers',
  async (t) => {
    // The store was restored without the two quarantines, and the routers had forgotten them: twelve servers crashed.
    t.timeout(90_000);
    const run = { seed: 5_001, routerCount: 3, callerCount: 12, script: 'crashes' } as const;
    const report = await play(run);
    t.deepEqual(report.findings, []);
    // Otherwise the run proves nothing of the quarantine.
    t.true(report.crashes >= 6, `${report.crashes} crashes`);
  },
);

test.serial(
  'routers that are killed while servers fail stay within the attempt budget',
  async (t) => {
    // Each start had the whole budget again: 188 further attempts in ten seconds where 161.6 were allowed.
    t.timeout(240_000);
    const run = { routerCount: 12, callerCount: 9, script: 'attempts' } as const;
    const reports = [await play({ ...run, seed: 3_046 }), await play({ ...run, seed: 3_047 })];
    reports.forEach(({ findings }) => t.deepEqual(findings, []));
    // Otherwise the runs prove nothing of the budget.
    const attempts = reports.map(({ fullestBudget }) => fullestBudget?.furtherAttempts ?? 0);
    t.true(Math.max(...attempts) > 30, attempts.join(', '));
  },
);

test.serial(
  'streams go on at the software version that began them, over releases, crashes and kills of routers',
  async (t) => {
    // Streams went on wherever there was memory, within a response and after their callers had come back.
    t.timeout(120_000);
    const run = { seed: 6_000, routerCount: 3, callerCount: 24, script: 'versions' } as const;
    const report = await play(run);
    t.deepEqual(report.findings, []);
    // Otherwise the run proves nothing of streams that callers take up again: fewer are not checked for the half.
    t.true(report.resumed.sent >= 12, `${report.resumed.wentOn} of ${report.resumed.sent}`);
    t.true(report.resumed.wentOn > 0, `${report.resumed.wentOn} of ${report.resumed.sent}`);
  },
);

test.serial(
  'servers that have left get no requests, though writes of their entries are executed late and routers are cut off',
  async (t) => {
    // A late entry made them usable again, and a router that had been cut off kept them in use for too long.
    t.timeout(90_000);
    const run = { seed: 8_002, routerCount: 3, callerCount: 16, script: 'leavers' } as const;
    const report = await play(run);
    t.deepEqual(report.findings, []);
    // Otherwise the run proves nothing of entries that return.
    t.true(report.leavers.lateEntries > 0, `${report.leavers.lateEntries} late entries`);
    t.true(report.leavers.usedAgain > 0, `${report.leavers.usedAgain} servers used again`);
  },
);

test.serial(
  'requests whose sound servers fall silent and go on are not cut beside planned work',
  async (t) => {
    // Routers ended streams of silent servers after about a second: a silence counted as the loss of the server.
    t.timeout(90_000);
    const load = { durationMs: 12_000, routerCount: 4, callerCount: 32 };
    const run = { ...load, seed: 9_005, script: 'silences' } as const;
    const report = await play(run);
    t.deepEqual(report.findings, []);
    // Otherwise the run proves nothing of streams, or of planned work of that kind.
    ['stop', 'reload', 'configuration'].forEach((planned) => {
      const counts = report.silences.filter(
        ({ routeName, beside }) => streamRoutes.includes(routeName) && beside === planned,
      );
      const met = counts.reduce((sum, count) => sum + count.met, 0);
      t.true(met > 0, `${met} beside ${planned}`);
    });
  },
);

/** It stays without an address to answer at, and leaves a file with the name of its process id. */
const neverReady = `
import { writeFileSync } from 'node:fs';
writeFileSync(new URL(\`./\${process.pid}\`, import.meta.url), '');
setInterval(() => undefined, 1_000);
`;

test.serial('a run whose routers do not get ready ends their processes', async (t) => {
  // They answered the callers of the next run, with responses of servers that it does not know.
  t.timeout(60_000);
  const directory = mkdtempSync(join(tmpdir(), 'bluebell-never-ready-'));
  const programPath = join(directory, 'program.mjs');
  writeFileSync(programPath, neverReady);
  const run = { seed: 1, routerCount: 2, callerCount: 1 };
  await t.throwsAsync(play(run, programPath), { message: /not ready .*: router-0, router-1/ });
  const processIds = readdirSync(directory).map(Number).filter(Number.isInteger);
  t.is(processIds.length, 2);
  processIds.forEach((processId) => t.throws(() => process.kill(processId, 0)));
});
