/** Exports for `npm start`; `scripts/build.mjs` bundles this module into dist/. */
import type { WorkerCounts } from './fleetDescription';
import type { EngineProfile } from './fleetTypes';

export { parseLogLine } from './childProcess';
export { describeFleet, institutionNames, modelDocumentOf } from './fleetDescription';
export { startFleet } from './startFleet';

/** Worker counts for a developer's machine; `describeFleet` uses those of production by default. */
export const deskWorkers: Record<string, WorkerCounts> = {
  'draft-models': { prefill: 2, decode: 3 },
  'counter-app': { plain: 2 },
  'tread-scribe': { prefill: 1, decode: 2 },
  'pit-desk': { plain: 2 },
};

const slotCount = 20;
const kvBytesPerToken = 131_072;
const typicalRequestTokens = 2_754;

/** Stand-in engine with its default times and memory for twenty typical requests. */
export const deskEngine: EngineProfile = {
  slotCount,
  kvBytesPerToken,
  capacityKvBytes: slotCount * typicalRequestTokens * kvBytesPerToken,
  stepBaseMs: 9,
  stepPerStreamMs: 0.1,
  prefillBaseMs: 20,
  prefillMsPerToken: 0.2,
  linkBytesPerSecond: 4_000_000_000,
  exportKeptForMs: 900,
};
