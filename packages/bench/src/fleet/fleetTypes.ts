/** Types that the description of a fleet and its time scaling share. */
import type { ServiceDocument } from '@bluebellhitch/document';

/** Settings of the stand-in engine; those not named here keep the engine's defaults. */
export interface EngineProfile {
  slotCount: number;
  capacityKvBytes: number;
  kvBytesPerToken: number;
  /** A decode step with n streams takes `stepBaseMs + n * stepPerStreamMs`. */
  stepBaseMs: number;
  stepPerStreamMs: number;
  prefillBaseMs: number;
  prefillMsPerToken: number;
  linkBytesPerSecond: number;
  /** How long the engine keeps the KV cache of a finished prefill for transfer. */
  exportKeptForMs: number;
}

export interface ServiceFile {
  text: string;
  document: ServiceDocument;
}
