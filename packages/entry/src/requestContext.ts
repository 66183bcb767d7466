/** The components and settings of an entry that request handling uses. */
import type { ClaimStore } from '@bluebellhitch/objects';
import type { Random } from '@bluebellhitch/shared';
import type { DecisionRing, EntryMetrics, Logger } from '@bluebellhitch/telemetry';
import type { AgentApi } from './agentApi';
import type { Cancellations } from './cancellations';
import type { Heartbeats } from './heartbeats';
import type { Instances } from './instances';
import type { ServiceRuntimes } from './serviceRuntimes';
import type { Strikes } from './strikes';

export interface RequestTimeouts {
  /** Time to wait for the first bids before further candidates are asked. */
  bidMs: number;
  /** Longest wait for a bid if no other candidate replies. */
  bidLimitMs: number;
  /** Minimum further wait for the other bids after the first one. */
  bidGraceMs: number;
  /** Added to a reservation's wait limit, since the call itself takes time. */
  reserveMarginMs: number;
  /** Time without a frame after which a stream counts as stalled. */
  streamStallMs: number;
  /** The same for the first frame, on top of the predicted time. */
  firstFrameStallMs: number;
}

export const defaultRequestTimeouts: RequestTimeouts = {
  bidMs: 150,
  bidLimitMs: 1_000,
  bidGraceMs: 10,
  reserveMarginMs: 500,
  streamStallMs: 3_000,
  firstFrameStallMs: 5_000,
};

export interface RequestContext {
  entryId: string;
  /** Changes when the entry restarts. */
  entryIncarnation: string;
  agents: AgentApi;
  instances: Instances;
  runtimes: ServiceRuntimes;
  heartbeats: Heartbeats;
  cancellations: Cancellations;
  claims: ClaimStore;
  strikes: Strikes;
  metrics: EntryMetrics;
  ring: Pick<DecisionRing, 'record'>;
  logger: Logger;
  random: Random;
  newAttemptId: () => string;
  timeouts: RequestTimeouts;
}
