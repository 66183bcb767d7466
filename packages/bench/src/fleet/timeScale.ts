/**
 * Slows a fleet down without changing the conditions for its policies: engine times, link rates, targets and
 * request rates are scaled alike. A machine that is too slow for the real times can then run the same experiment.
 */
import { stringify } from 'yaml';
import { serviceDocumentSchema } from '@bluebellhitch/document';
import type { EngineProfile, ServiceFile } from './fleetTypes';

/** Multiplies the durations by `factor` and divides the link rate by it. */
export function scaleEngine(engine: EngineProfile, factor: number): EngineProfile {
  return {
    ...engine,
    stepBaseMs: engine.stepBaseMs * factor,
    stepPerStreamMs: engine.stepPerStreamMs * factor,
    prefillBaseMs: engine.prefillBaseMs * factor,
    prefillMsPerToken: engine.prefillMsPerToken * factor,
    exportKeptForMs: engine.exportKeptForMs * factor,
    linkBytesPerSecond: Math.round(engine.linkBytesPerSecond / factor),
  };
}

/** Multiplies a document's targets and timeouts by `factor` and divides the request rates of its classes by it. */
export function scaleService(file: ServiceFile, factor: number): ServiceFile {
  if (factor === 1 || file.document.kind === 'plain') {
    return file;
  }
  const { targets, limits, drain, classes } = file.document;
  const document = serviceDocumentSchema.parse({
    ...file.document,
    targets: {
      firstTokenMs: targets.firstTokenMs * factor,
      betweenTokensMs: targets.betweenTokensMs * factor,
    },
    limits: { ...limits, requestTimeoutMs: limits.requestTimeoutMs * factor },
    // The document check requires a drain bound of at least the request timeout.
    drain: { ...drain, boundMs: drain.boundMs * factor },
    classes: classes.map((trafficClass) => ({
      ...trafficClass,
      requestsPerSecond: scaleRate(trafficClass.requestsPerSecond, factor),
    })),
  });
  return { text: stringify(document), document };
}

function scaleRate(ratePerSecond: number | undefined, factor: number): number | undefined {
  return ratePerSecond === undefined ? undefined : ratePerSecond / factor;
}
