export {
  summarizeGoodput,
  evaluateResponse,
  type GoodputSummary,
  type Verdict,
} from './accounting/goodput';
export { describeFleet, type FleetDescription } from './fleet/fleetDescription';
export { startFleet, type Fleet, type StartFleetOptions } from './fleet/startFleet';
export { runOpenLoop, type OpenLoopOptions, type OpenLoopResult } from './load/openLoop';
export { mixes, type InstitutionMix } from './traffic/mixes';
export { createTrace, type Arrival, type TraceOptions } from './traffic/trace';
