/** Options, scenarios, cells and figures of the goodput experiment. */
import type { InstitutionName } from '../fleet/fleetDescription';
import type { EngineProfile } from '../fleet/fleetTypes';
import type { CapacityEstimate } from '../traffic/capacity';
import type { FaultKind } from './faults';
import type { CellResult } from './goodputCell';
import type { MachineState } from './machine';

export const policyNames = {
  default: 'default',
  random: 'random',
  leastLoaded: 'least-loaded',
  prefillFirst: 'prefill-first',
} as const;
export type PolicyName = (typeof policyNames)[keyof typeof policyNames];

export interface GoodputOptions {
  institutions: InstitutionName[];
  /** Loads in percent of the estimated capacity. */
  loadsPercent: number[];
  /** Faults to inject, each at 100% load. */
  faults: FaultKind[];
  seeds: number[];
  policies: PolicyName[];
  seconds: number;
  /** Factor for all times, so that the machine is not the bottleneck. */
  timeScale: number;
  /** Number of entries for each policy. */
  entryCount: number;
}

export interface Scenario {
  loadPercent: number;
  fault?: FaultKind;
}

export interface GoodputCell extends Scenario {
  institution: InstitutionName;
  policy: PolicyName;
  seed: number;
  ratePerSecond: number;
  result: CellResult;
}

export interface GoodputFigures {
  options: GoodputOptions;
  engine: EngineProfile;
  capacities: Partial<Record<InstitutionName, CapacityEstimate>>;
  cells: GoodputCell[];
  machine: { before: MachineState; after: MachineState };
}

export function listScenarios({ loadsPercent, faults }: GoodputOptions): Scenario[] {
  const byLoad = loadsPercent.filter((loadPercent) => loadPercent > 0);
  return [
    ...byLoad.map((loadPercent): Scenario => ({ loadPercent })),
    ...faults.map((fault): Scenario => ({ loadPercent: 100, fault })),
  ];
}

export function formatScenario({ loadPercent, fault }: Scenario): string {
  return fault === undefined ? `${loadPercent}%` : `${loadPercent}%, ${fault}`;
}
