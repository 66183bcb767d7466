/** The agent's configuration from its service's accepted document, with defaults before the first one. */
import type { QueueClass } from '@bluebellhitch/decisions';
import type { AcceptedDocument } from '@bluebellhitch/document';

export interface AgentConfig {
  /** Generation of the active document; 0 before the first one. */
  generation: number;
  classes: ReadonlyMap<string, QueueClass>;
  /** Concurrent calls of a plain backend server. */
  slotsPerServer: number;
  requestTimeoutMs: number;
  drainBoundMs: number;
  /** Ids of instances that take no new work. */
  drainedInstances: readonly string[];
}

export const defaultAgentConfig: AgentConfig = {
  generation: 0,
  classes: new Map(),
  slotsPerServer: 64,
  requestTimeoutMs: 60_000,
  drainBoundMs: 30_000,
  drainedInstances: [],
};

export function configFromDocument(accepted: AcceptedDocument): AgentConfig {
  const { classes, limits, drain } = accepted.document;
  return {
    generation: accepted.generation,
    classes: new Map(classes.map(({ name, weight, queueLimit }) => [name, { weight, queueLimit }])),
    slotsPerServer: limits.slotsPerServer,
    requestTimeoutMs: limits.requestTimeoutMs,
    drainBoundMs: drain.boundMs,
    drainedInstances: drain.instances,
  };
}
