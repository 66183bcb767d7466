/**
 * Compares ways in which routers together keep a workspace's quota, or a server's own limit, by the same loads and seeds.
 */
import {
  quotaLoads,
  quotaWays,
  runQuotaReplay,
  serverLimitLoads,
  type QuotaFigures,
  type QuotaLoad,
  type QuotaWay,
} from '@bluebellhitch/replay';
import { renderTable } from '../report/table';
import type { ExperimentReport } from './context';

export interface QuotaWaysOptions {
  seeds: readonly number[];
}

interface Row {
  load: string;
  way: QuotaWay;
  /** Of what one account without delay admits: what was admitted of the same requests. */
  owedServed: number;
  /** All that was admitted, over what one account without delay admits. */
  admitted: number;
  /** The fullest window, over what is allowed in it. */
  fullestWindow: number;
}

const { account, evenShares, demandShares, blockLater, fewRouters, permits } = quotaWays;
const workspaceWays = [account, evenShares, demandShares, blockLater];
const serverLimitWays = [account, evenShares, fewRouters, permits];
const headers = ['load', 'way', 'owed served', 'admitted', 'fullest window'];
const digits = 2;

export function runQuotaWays({ seeds }: QuotaWaysOptions): ExperimentReport {
  const rows = [
    ...rowsOf(quotaLoads, workspaceWays, seeds),
    ...rowsOf(serverLimitLoads, serverLimitWays, seeds),
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

function rowsOf(
  loads: Readonly<Record<string, QuotaLoad>>,
  ways: readonly QuotaWay[],
  seeds: readonly number[],
): Row[] {
  return Object.entries(loads).flatMap(([name, shape]) =>
    ways.map((way) => rowOf({ name, shape }, way, seeds)),
  );
}

function rowOf(
  { name, shape }: { name: string; shape: QuotaLoad },
  way: QuotaWay,
  seeds: readonly number[],
): Row {
  const all = seeds.map((seed) => runQuotaReplay({ load: shape, way, seed }));
  const sum = (read: (figures: QuotaFigures) => number) =>
    all.reduce((total, figures) => total + read(figures), 0);
  const owed = sum((figures) => figures.owed);
  return {
    load: name,
    way,
    owedServed: sum(({ owedAdmitted }) => owedAdmitted) / owed,
    admitted: sum((figures) => figures.admitted) / owed,
    fullestWindow: Math.max(...all.map(({ worstWindowShare }) => worstWindowShare)),
  };
}
