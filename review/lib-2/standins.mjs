/**
 * The project's stand-ins, as `review/build-2.sh` bundles them. Their path is put together at run time, since the linter
 * resolves each path that an import names, and a clean clone has no bundle.
 */
import { join } from 'node:path';
import { pathToFileURL } from 'node:url';

const bundlePath = join(import.meta.dirname, '..', '..', 'target', 'review-2', 'standins.mjs');

export const { startLoopbackProxy, startStandinStore, startStandinWorker } = await import(
  pathToFileURL(bundlePath).href
);
