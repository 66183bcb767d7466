/** The program `bluebell-soak`: one run with a seed. The last line on standard output is the report as JSON. */
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import * as z from 'zod';
import { exitCodes, loadSettingsOrExit } from '@bluebellhitch/shared';
import { scriptKinds } from './script';
import { runSoak } from './soakRun';

// This file runs as dist/bluebell-soak.js.
const repositoryRoot = join(dirname(fileURLToPath(import.meta.url)), '..');
const msPerSecond = 1_000;
const count = z.coerce.number().int().positive();

const settings = await loadSettingsOrExit({
  binaryName: 'bluebell-soak',
  version: '0.1.0',
  description:
    'Runs routers as processes under a seeded script of faults and checks their promises.',
  definitions: {
    seed: {
      schema: z.coerce.number().int(),
      description: 'Makes the script.',
      defaultText: '1',
    },
    seconds: { schema: count, description: 'How long faults go on.', defaultText: '15' },
    routers: { schema: count, description: 'Router processes.', defaultText: '3' },
    callers: { schema: count, description: 'Callers at once.', defaultText: '16' },
    marginMs: {
      schema: z.coerce.number().nonnegative(),
      description: 'Added to each bound in time, in ms.',
      defaultText: '500',
    },
    script: {
      schema: z.enum(scriptKinds).optional(),
      description:
        'Kind of the script: planned, mixed, attempts, crashes, versions, leavers or silences; chosen by the seed if absent.',
    },
    hostPrefix: {
      schema: z.string().regex(/^127\.\d{1,3}\.\d{1,3}$/),
      description:
        'First three numbers of the addresses on loopback; runs beside each other differ.',
      defaultText: '127.20.0',
    },
    directory: {
      schema: z.string().min(1),
      description: 'Takes settings, logs and the record of the run.',
    },
  },
});
const { seconds, routers, callers, ...rest } = settings;
const report = await runSoak({
  ...rest,
  durationMs: seconds * msPerSecond,
  routerCount: routers,
  callerCount: callers,
  programPath: join(repositoryRoot, 'target', 'bluebell-router.mjs'),
  exitWithParentPath: join(repositoryRoot, 'scripts', 'lib', 'exitWithParent.mjs'),
});
process.stdout.write(`${JSON.stringify(report)}\n`);
process.exit(report.findings.length === 0 ? exitCodes.ok : exitCodes.failure);
