import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'ava';
import { runSoak } from '@bluebellhitch/soak';

const repositoryRoot = join(import.meta.dirname, '..', '..', '..');

/**
 * Seeds that have failed before, as regression tests. 5 and 25: SIGHUP ended a router that was starting. 513: a router
 * that started during a store outage trusted the backup from which the store was restored.
 */
const seeds = [5, 25, 513, 715, 733];

seeds.forEach((seed) => {
  test.serial(
    `router processes keep their promises under the script of seed ${seed}`,
    async (t) => {
      t.timeout(90_000);
      const report = await runSoak({
        seed,
        durationMs: 15_000,
        routerCount: 3,
        callerCount: 12,
        hostPrefix: '127.77.0',
        programPath: join(repositoryRoot, 'target', 'bluebell-router.mjs'),
        exitWithParentPath: join(repositoryRoot, 'scripts', 'lib', 'exitWithParent.mjs'),
        directory: join(mkdtempSync(join(tmpdir(), 'bluebell-soak-')), String(seed)),
        // One second more than the default, because the machine of a CI run may be busy.
        marginMs: 1_500,
      });
      t.deepEqual(report.findings, []);
      t.true(report.requests > 200, `${report.requests} requests`);
    },
  );
});
