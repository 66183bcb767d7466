/** Bundles the project's stand-ins of the platform, which plain scripts cannot load as TypeScript, into `target/`. */
import { join } from 'node:path';
import { build } from 'esbuild';

const repositoryRoot = join(import.meta.dirname, '..', '..');

await build({
  absWorkingDir: repositoryRoot,
  entryPoints: { standins: 'platform/standins/src/index.ts' },
  outdir: join(repositoryRoot, 'target', 'review'),
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['bluebell-source'],
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
