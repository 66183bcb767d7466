/**
 * Prints the processor time that a request's API key and quota cost between its head and its way to a backend server.
 *
 *     node --import=tsx --conditions=bluebell-source packages/routing/scripts/accessCost.ts
 */
import { createSharedQuota } from '@bluebellhitch/decisions';
import {
  createRouteTable,
  decideAccess,
  digestOfKey,
  quotaUnits,
  type CallerLimits,
  type Workspace,
} from '../src';

const workspaceCount = 1_000;
const keysPerWorkspace = 10;
const companionCount = 39;
const warmUpRequests = 20_000;
const requests = 100_000;
const rounds = 5;
const usPerMs = 1_000;
const tokens = 3_300;

const keyOf = (workspace: number, key: number) => `key-${workspace}-${key}-of-some-length`;
const limits: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 65_536,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
const quota = {
  unit: quotaUnits.tokens,
  ratePerSecond: 1e9,
  burst: 1e9,
  plainTokens: 200,
};
const workspaces = Array.from({ length: workspaceCount }, (_none, workspace): Workspace => ({
  name: `workspace-${workspace}`,
  keyDigests: Array.from({ length: keysPerWorkspace }, (_also, key) =>
    digestOfKey(keyOf(workspace, key)),
  ),
  quota,
}));
const table = createRouteTable({ version: 1, routes: [], services: [], limits, workspaces });
const account = createSharedQuota({ nowMs: -10_000 });
const companions = Array.from({ length: companionCount }, (_none, at) => `10.0.0.${at + 1}:7400`);
account.setRouters(companions, companionCount + 1);
account.setQuotas(
  workspaces.map(({ name }) => ({ name, ...quota })),
  0,
);

function serve(at: number): void {
  const nowMs = at / 100;
  const key = keyOf(at % workspaceCount, at % keysPerWorkspace);
  const access = decideAccess({
    table,
    route: undefined,
    credential: { kind: 'key', digest: digestOfKey(key) },
    freshness: { isProved: true, isBehind: false },
  });
  if (access.kind === 'granted' && access.workspace !== undefined) {
    account.take(access.workspace.name, tokens, nowMs);
  }
}

function measure(): number {
  const before = process.cpuUsage();
  for (let at = 0; at < requests; at += 1) {
    if (at % requests === 0) {
      companions.forEach((router) => account.noteHeard(router, at / 100));
    }
    serve(at);
  }
  const { user, system } = process.cpuUsage(before);
  return (user + system) / requests;
}

for (let at = 0; at < warmUpRequests; at += 1) {
  serve(at);
}
const samples = Array.from({ length: rounds }, measure).sort((left, right) => left - right);
const median = samples[Math.floor(rounds / 2)] ?? 0;
process.stdout.write(
  `${workspaceCount * keysPerWorkspace} keys, ${workspaceCount} workspaces, ` +
    `${companionCount + 1} routers: ${median.toFixed(2)} us a request ` +
    `(${(median / usPerMs).toFixed(4)} ms)\n`,
);
