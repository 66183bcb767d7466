/**
 * Measures the CPU time that the check of a request's API key and quota adds to each request.
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
const shardPeerCount = 39;
const warmUpRequests = 20_000;
const requestsPerSample = 100_000;
const sampleCount = 5;
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
  keyDigests: Array.from({ length: keysPerWorkspace }, (_unused, key) =>
    digestOfKey(keyOf(workspace, key)),
  ),
  quota,
}));
const table = createRouteTable({ version: 1, routes: [], services: [], limits, workspaces });
const sharedQuota = createSharedQuota({ nowMs: -10_000 });
const shardPeers = Array.from(
  { length: shardPeerCount },
  (_none, index) => `10.0.0.${index + 1}:7400`,
);
sharedQuota.setRouters(shardPeers, shardPeerCount + 1);
sharedQuota.setQuotas(
  workspaces.map(({ name }) => ({ name, ...quota })),
  0,
);

function serveRequest(index: number): void {
  const nowMs = index / 100;
  const key = keyOf(index % workspaceCount, index % keysPerWorkspace);
  const access = decideAccess({
    table,
    route: undefined,
    credential: { kind: 'key', digest: digestOfKey(key) },
    freshness: { isProved: true, isBehind: false, mayLackVersions: false },
  });
  if (access.kind === 'granted' && access.workspace !== undefined) {
    sharedQuota.take(access.workspace.name, tokens, nowMs);
  }
}

function measure(): number {
  const before = process.cpuUsage();
  for (let index = 0; index < requestsPerSample; index += 1) {
    if (index % requestsPerSample === 0) {
      shardPeers.forEach((router) => sharedQuota.noteContact(router, index / 100));
    }
    serveRequest(index);
  }
  const { user, system } = process.cpuUsage(before);
  return (user + system) / requestsPerSample;
}

for (let index = 0; index < warmUpRequests; index += 1) {
  serveRequest(index);
}
const samples = Array.from({ length: sampleCount }, measure).sort((left, right) => left - right);
const median = samples[Math.floor(sampleCount / 2)] ?? 0;
process.stdout.write(
  `${workspaceCount * keysPerWorkspace} keys, ${workspaceCount} workspaces, ` +
    `${shardPeerCount + 1} routers: ${median.toFixed(2)} us a request ` +
    `(${(median / usPerMs).toFixed(4)} ms)\n`,
);
