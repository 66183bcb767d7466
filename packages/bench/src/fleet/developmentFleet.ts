/** What `npm start` needs of the bench's launcher; `scripts/build.mjs` bundles it into dist/. */
import type { WorkerCounts } from './fleetDescription';
import type { EngineProfile } from './fleetParts';

export { parseLogLine } from './childProcess';
export { describeFleet, institutionNames, modelDocumentOf } from './fleetDescription';
export { startFleet } from './startFleet';

/** Workers for one person at a desk; `describeFleet` starts today's number without them. */
export const deskWorkers: Record<string, WorkerCounts> = {
  'draft-models': { prefill: 2, decode: 3 },
  'counter-app': { plain: 2 },
  'tread-scribe': { prefill: 1, decode: 2 },
  'pit-desk': { plain: 2 },
};

const slotCount = 20;
const kvBytesPerToken = 131_072;
const typicalTokens = 2_754;

/** The stand-in engine's own times, with memory for twenty typical requests. */
export const deskEngine: EngineProfile = {
  slotCount,
  kvBytesPerToken,
  capacityKvBytes: slotCount * typicalTokens * kvBytesPerToken,
  stepBaseMs: 9,
  stepPerStreamMs: 0.1,
  prefillBaseMs: 20,
  prefillMsPerToken: 0.2,
  linkBytesPerSecond: 4_000_000_000,
  exportKeptForMs: 900,
};
