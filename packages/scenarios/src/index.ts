export { parseScenario } from './language/parseScenario';
export { runScenario, type RunScenarioOptions, type ScenarioFailure } from './language/runScenario';
export type { Scenario, Step } from './language/scenarioSchema';
export type { CallOutcome, CallerRequest, SentRequest } from './world/callers';
export { safeguards, type Safeguard } from './world/safeguards';
export { createWorld, type World, type WorldOptions, type WorldService } from './world/world';
export type { PausedClock } from './world/worldTime';
