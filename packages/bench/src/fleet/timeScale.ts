/**
 * Slows a fleet down without changing what its policies face: engines, links, targets and rates are
 * stretched alike. A machine that is too slow for the users' own times can then run the same experiment.
 */
import { stringify } from 'yaml';
import { serviceDocumentSchema } from '@bluebellhitch/document';
import type { EngineProfile, ServiceFile } from './fleetParts';

/** All durations times `factor`, all rates through it. */
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

/** Targets and bounds of a document's requests times `factor`, rates of its classes through it. */
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
    // Never shorter than the longest request.
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
