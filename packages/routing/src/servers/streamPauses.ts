/** Pauses between the events of a stream, with the state of the engine meanwhile. */
import type { LongestPause } from '@bluebellhitch/decisions';

/** State of a run's engine during a pause between two events. */
export interface RunContext {
  serverId: string;
  /** Streams that are known to run on the engine, of all routers. */
  streamCount: number;
  /** Whether a prompt was prefilled there meanwhile, by any router, as far as known. */
  hadLocalPrefill: boolean;
}

/** Pauses of the whole response, across its runs. */
export interface RelayPauses {
  longest?: LongestPause<RunContext>;
  medianMs?: number;
}
