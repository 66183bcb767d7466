/**
 * Bundles the platform's router into `target/`, where its deploy file expects it. Packages of npm are
 * bundled too: a start reads one file instead of several hundred.
 */
import { join } from 'node:path';
import { build } from 'esbuild';
import { repositoryRoot } from './lib/repository.mjs';

// Packages in the old module format call `require`, which an ES module does not have.
const requireBanner = [
  "import { createRequire as createBundleRequire } from 'node:module';",
  'const require = createBundleRequire(import.meta.url);',
].join('\n');

const partsPath = (file) => join(repositoryRoot, 'scripts', 'lib', file);

/** Resolves a library to its parts in use; see the file named. */
const partsOfLibraries = {
  name: 'parts-of-libraries',
  setup(builder) {
    builder.onResolve({ filter: /^undici$/ }, () => ({ path: partsPath('undiciParts.mjs') }));
    builder.onResolve({ filter: /^(node:)?http2$/ }, () => ({ path: partsPath('noHttp2.mjs') }));
  },
};

await build({
  absWorkingDir: repositoryRoot,
  entryPoints: { 'bluebell-router': 'platform/src/bin.ts' },
  outdir: join(repositoryRoot, 'target'),
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['bluebell-source'],
  // Loading the smaller text takes a third of the processor time, which a restart has to wait for.
  minify: true,
  plugins: [partsOfLibraries],
  sourcemap: 'external',
  banner: { js: requireBanner },
  logLevel: 'warning',
});
