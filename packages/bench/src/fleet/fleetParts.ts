/** What a fleet is described by, and stretched by. */
import type { ServiceDocument } from '@bluebellhitch/document';

/** Settings of the stand-in engine; absent ones keep its own defaults. */
export interface EngineProfile {
  slotCount: number;
  capacityKvBytes: number;
  kvBytesPerToken: number;
  /** A decode step of n streams takes `stepBaseMs + n * stepPerStreamMs`. */
  stepBaseMs: number;
  stepPerStreamMs: number;
  prefillBaseMs: number;
  prefillMsPerToken: number;
  linkBytesPerSecond: number;
  /** How long the result of a prefill is kept. */
  exportKeptForMs: number;
}

export interface ServiceFile {
  text: string;
  document: ServiceDocument;
}
