/** Bundles the stand-ins that the cases of the second review start; `scripts/buildPlatform.mjs` builds the router. */
import { join } from 'node:path';
import { build } from 'esbuild';

const repositoryRoot = join(import.meta.dirname, '..', '..');
const requireBanner = [
  "import { createRequire as createBundleRequire } from 'node:module';",
  'const require = createBundleRequire(import.meta.url);',
].join('\n');
/** The project's stand-ins, and the proxy of its soak. */
const exported = `
  export {
    startStandinStore,
    startStandinWorker,
  } from '@bluebellhitch/platform-standins';
  export { startLoopbackProxy } from './packages/soak/src/loopbackProxy';
`;

await build({
  absWorkingDir: repositoryRoot,
  stdin: { contents: exported, resolveDir: repositoryRoot, sourcefile: 'standins.mjs' },
  outfile: join(repositoryRoot, 'target', 'review-2', 'standins.mjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  conditions: ['bluebell-source'],
  banner: { js: requireBanner },
  logLevel: 'warning',
});
