/**
 * Compares strategies by which routers jointly keep a workspace's quota or a server's own limit, with the same
 * loads and seeds.
 */
import {
  quotaLoads,
  quotaStrategies,
  runQuotaReplay,
  serverLimitLoads,
  type QuotaFigures,
  type QuotaLoad,
  type QuotaStrategy,
} from '@bluebellhitch/replay';
import { renderTable } from '../report/table';
import type { ExperimentReport } from './context';

export interface QuotaStrategiesOptions {
  seeds: readonly number[];
}

interface Row {
  load: string;
  way: QuotaStrategy;
  /** Of the load that one token bucket shared without delay would admit, the share that was admitted. */
  owedServed: number;
  /** All admitted load divided by the load that one token bucket shared without delay would admit. */
  admitted: number;
  /** Load admitted in the fullest window divided by the load allowed in it. */
  fullestWindow: number;
}

const { account, evenShares, demandShares, blockLater, fewRouters, permits } = quotaStrategies;
const workspaceStrategies = [account, evenShares, demandShares, blockLater];
const serverLimitStrategies = [account, evenShares, fewRouters, permits];
const headers = ['load', 'way', 'owed served', 'admitted', 'fullest window'];
const digits = 2;

export function runQuotaStrategies({ seeds }: QuotaStrategiesOptions): ExperimentReport {
  const rows = [
    ...measureRows(quotaLoads, workspaceStrategies, seeds),
    ...measureRows(serverLimitLoads, serverLimitStrategies, seeds),
  ];
  const text = renderTable(
    headers,
    rows.map(({ load, way, owedServed, admitted, fullestWindow }) => [
      load,
      way,
      ...[owedServed, admitted, fullestWindow].map((figure) => figure.toFixed(digits)),
    ]),
  );
  return { text, figures: { seeds, rows } };
}

function measureRows(
  loads: Readonly<Record<string, QuotaLoad>>,
  strategies: readonly QuotaStrategy[],
  seeds: readonly number[],
): Row[] {
  return Object.entries(loads).flatMap(([name, shape]) =>
    strategies.map((strategy) => measureRow({ name, shape }, strategy, seeds)),
  );
}

function measureRow(
  { name, shape }: { name: string; shape: QuotaLoad },
  strategy: QuotaStrategy,
  seeds: readonly number[],
): Row {
  const all = seeds.map((seed) => runQuotaReplay({ load: shape, strategy, seed }));
  const sum = (read: (figures: QuotaFigures) => number) =>
    all.reduce((total, figures) => total + read(figures), 0);
  const owed = sum((figures) => figures.owed);
  return {
    load: name,
    way: strategy,
    owedServed: sum(({ owedAdmitted }) => owedAdmitted) / owed,
    admitted: sum((figures) => figures.admitted) / owed,
    fullestWindow: Math.max(...all.map(({ worstWindowShare }) => worstWindowShare)),
  };
}
