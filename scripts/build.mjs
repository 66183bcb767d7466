/**
 * Bundles each binary, and the fleet launcher that `npm start` shares with the bench, into dist/. Workspace packages
 * are bundled; npm packages stay external.
 */
import { readFile } from 'node:fs/promises';
import { existsSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';
import { replaceFile } from './lib/replaceFile.mjs';
import { repositoryRoot } from './lib/repository.mjs';

const binaries = {
  'bluebell-entry': 'packages/entry/src/bin.ts',
  'bluebell-agent': 'packages/agent/src/bin.ts',
  bluebellctl: 'packages/ctl/src/bin.ts',
  'bluebell-bench': 'packages/bench/src/bin.ts',
  'bluebell-soak': 'packages/soak/src/bin.ts',
  'development-fleet': 'packages/bench/src/fleet/developmentFleet.ts',
  'standin-engine': 'packages/standins/src/bin/standinEngine.ts',
  'standin-platform': 'packages/standins/src/bin/standinPlatform.ts',
  'standin-weight-store': 'packages/standins/src/bin/standinWeightStore.ts',
  'standin-plain-service': 'packages/standins/src/bin/standinPlainService.ts',
};

const executableMode = 0o755;
const outputDirectory = join(repositoryRoot, 'dist');
const sources = Object.entries(binaries).filter(([, source]) =>
  existsSync(join(repositoryRoot, source)),
);
const missing = Object.keys(binaries).filter((name) => !sources.some(([built]) => built === name));
const manifest = JSON.parse(await readFile(join(repositoryRoot, 'package.json'), 'utf8'));
const dependencies = Object.keys(manifest.dependencies);

const { outputFiles } = await build({
  absWorkingDir: repositoryRoot,
  entryPoints: Object.fromEntries(sources),
  outdir: outputDirectory,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['bluebell-source'],
  external: dependencies.flatMap((name) => [name, `${name}/*`]),
  banner: { js: '#!/usr/bin/env node' },
  sourcemap: true,
  logLevel: 'warning',
  write: false,
});
await Promise.all(outputFiles.map((file) => replaceFile(file, executableMode)));

const note = missing.length === 0 ? '' : `; no source yet: ${missing.join(', ')}`;
process.stdout.write(`built ${sources.length} bundles into dist${note}\n`);
