/** Determines how far a model request has progressed. */
import type { World } from '../world/world';
import { find } from './lookups';
import type { requestStages } from './scenarioSchema';

export type RequestStage = (typeof requestStages)[number];

/** Whether the request is at the stage now. `mid-stream` means that at least three tokens have arrived. */
export function isAtStage(world: World, requestName: string, stage: RequestStage): boolean {
  const sent = find(world.requests, requestName);
  switch (stage) {
    case 'first-token':
      return sent.tokenCount >= 1;
    case 'mid-stream':
      return sent.tokenCount >= 3;
    case 'answered':
      return sent.outcome !== undefined;
    case 'queued':
      return [...world.agents.values()].some((agent) => agent.agent().load().queuedCount > 0);
    default:
      return leaseStates(world, requestName).includes(stage);
  }
}

function leaseStates(world: World, requestName: string): string[] {
  return [...world.agents.values()]
    .filter((agent) => agent.process().state() !== 'crashed')
    .flatMap((agent) => agent.agent().leasing.table.leases())
    .filter(({ attemptId }) => world.requestOf(attemptId) === requestName)
    .map(({ state }) => state);
}
