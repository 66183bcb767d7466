/** The components of an agent that only a model engine needs. */
import type { LeaseTable, PrefillBacklog } from '@bluebellhitch/decisions';
import type { EngineApi } from '@bluebellhitch/engine';
import type { LoadHint } from '@bluebellhitch/protocol';
import type { Random } from '@bluebellhitch/shared';
import type { Admission } from './admission';
import type { AgentObserver } from './agentObserver';
import type { AttemptRecord } from './attemptRecord';
import { createKvImporter } from './kvImporter';
import type { LeaseReleaser } from './leaseReleaser';
import { createLinkPacer } from './linkPacer';
import { createOrderExecutor, type OrderExecutor, type ReadFencingNumber } from './orderExecutor';
import { createPrefillRunner, type PrefillRunner } from './prefillRunner';
import type { Reservations } from './reservations';
import { createStreamRunner, type StreamRunner } from './streamRunner';
import type { WorkEstimates } from './workEstimates';

export interface ModelComponentsOptions {
  engine: EngineApi;
  kvAddress: string;
  kvRateBytesPerSecond: number;
  service: string;
  table: LeaseTable;
  releaser: LeaseReleaser;
  admission: Admission;
  attempts: AttemptRecord;
  estimates: WorkEstimates;
  reservations: Reservations;
  observer: AgentObserver;
  load: () => LoadHint;
  readFencingNumber: ReadFencingNumber;
  random?: Random;
  onCached: (blocks: readonly string[]) => void;
  backlog: PrefillBacklog;
  uncachedTokens: (prompt: string) => number;
}

export interface ModelComponents {
  streams: StreamRunner;
  prefills: PrefillRunner;
  orders: OrderExecutor;
}

export function createModelComponents(options: ModelComponentsOptions): ModelComponents {
  const { engine, kvRateBytesPerSecond, reservations } = options;
  const pacer = createLinkPacer({ rateBytesPerSecond: kvRateBytesPerSecond });
  return {
    streams: createStreamRunner({
      ...options,
      importer: createKvImporter({ engine, pacer }),
      getDetails: reservations.getDetails,
    }),
    prefills: createPrefillRunner(options),
    orders: createOrderExecutor(options),
  };
}
