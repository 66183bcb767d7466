/**
 * Bundles the platform's router into `target/`, where its deploy file expects it. npm packages are bundled too, so
 * that a start reads one file instead of several hundred.
 */
import { join } from 'node:path';
import { build } from 'esbuild';
import { replaceFile } from './lib/replaceFile.mjs';
import { repositoryRoot } from './lib/repository.mjs';

// CommonJS packages call `require`, which does not exist in an ES module.
const requireBanner = [
  "import { createRequire as createBundleRequire } from 'node:module';",
  'const require = createBundleRequire(import.meta.url);',
].join('\n');

const slimModulePath = (file) => join(repositoryRoot, 'scripts', 'lib', file);

/** Replaces libraries by modules with only the parts in use; each module states the reason. */
const slimLibraries = {
  name: 'parts-of-libraries',
  setup(builder) {
    builder.onResolve({ filter: /^undici$/ }, () => ({ path: slimModulePath('undiciParts.mjs') }));
    builder.onResolve({ filter: /^(node:)?http2$/ }, () => ({
      path: slimModulePath('noHttp2.mjs'),
    }));
  },
};

const { outputFiles } = await build({
  absWorkingDir: repositoryRoot,
  entryPoints: { 'bluebell-router': 'platform/src/bin.ts' },
  outdir: join(repositoryRoot, 'target'),
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['bluebell-source'],
  // Loading the minified bundle takes a third of the CPU time, and every restart waits for it.
  minify: true,
  plugins: [slimLibraries],
  sourcemap: 'external',
  banner: { js: requireBanner },
  logLevel: 'warning',
  write: false,
});
await Promise.all(outputFiles.map((file) => replaceFile(file)));
