import test from 'ava';
import {
  createRouteTable,
  decideAccess,
  routeKinds,
  type ConfigurationFreshness,
  type Credential,
  type Route,
  type Workspace,
} from '@bluebellhitch/routing';

const route: Route = {
  name: 'page',
  host: 'bank.example',
  pathPrefix: '/page/',
  kind: routeKinds.idempotent,
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  targetGapMs: 0,
  priority: 2,
  maxAttempts: 1,
  allowsResume: false,
  targets: [],
};
const fresh: ConfigurationFreshness = {
  isProved: true,
  isBehind: false,
  mayLackVersions: false,
};
const known: Credential = { kind: 'key', digest: 'd1' };
const unknown: Credential = { kind: 'key', digest: 'd9' };
const bonds: Workspace = { name: 'bonds', keyDigests: ['d1', 'd2'] };

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const table = createRouteTable({
  ...{ version: 1, routes: [route], services: [], limits },
  workspaces: [bonds],
});

function decide(credential: Credential, over: Partial<Parameters<typeof decideAccess>[0]> = {}) {
  return decideAccess({ table, route, credential, freshness: fresh, ...over });
}

test('a known key grants access for its workspace, any other gets a final refusal', (t) => {
  t.deepEqual(decide(known), { kind: 'granted', workspace: bonds });
  const refused = { kind: 'refused', refusal: { kind: 'unknown-key' } } as const;
  t.deepEqual(decide(unknown), refused);
  t.deepEqual(decide({ kind: 'none' }), refused);
  t.deepEqual(decide({ kind: 'unreadable' }), refused);
});

test('a caller without a valid key cannot probe for routes', (t) => {
  t.like(decide(unknown, { route: undefined }), { refusal: { kind: 'unknown-key' } });
});

test('without a proof that the configuration is complete, keys are neither accepted nor finally refused', (t) => {
  // The key may have been revoked, or issued, in a configuration that this router has not seen.
  const freshness = { ...fresh, isProved: false };
  [known, unknown].forEach((credential) =>
    t.like(decide(credential, { freshness }), {
      refusal: { kind: 'not-run', reason: 'stale-configuration' },
    }),
  );
});

test('an unknown key may be part of a newer configuration', (t) => {
  const freshness = { ...fresh, isBehind: true };
  t.like(decide(unknown, { freshness }), { refusal: { reason: 'stale-configuration' } });
  t.like(decide(known, { freshness }), { kind: 'granted' });
});

test('an unknown key may be part of a version that a restored store has lost', (t) => {
  const freshness = { ...fresh, mayLackVersions: true };
  const refusal = { kind: 'not-run', reason: 'restored-store', retryAfterMs: 1_000 };
  t.like(decide(unknown, { freshness }), { refusal });
  t.like(decide(known, { freshness }), { kind: 'granted' });
  t.like(decide({ kind: 'none' }, { freshness }), { refusal: { kind: 'unknown-key' } });
});

test('a key that is known to have been revoked is refused whatever a restored store has lost', (t) => {
  const freshness = { ...fresh, mayLackVersions: true };
  const withoutKey = createRouteTable({ ...table.configuration, workspaces: [] }, table);
  const later = createRouteTable({ ...table.configuration, workspaces: [] }, withoutKey);
  [withoutKey, later].forEach((revoking) => {
    const access = decideAccess({ table: revoking, route, credential: known, freshness });
    t.like(access, { refusal: { kind: 'unknown-key' } });
  });
  const again = createRouteTable(table.configuration, later);
  t.is(decideAccess({ table: again, route, credential: known, freshness }).kind, 'granted');
});

test('a route that needs no key is open even without a proof', (t) => {
  const open = { ...route, allowsAnonymous: true };
  const freshness = { ...fresh, isProved: false };
  t.deepEqual(decide({ kind: 'none' }, { route: open, freshness }), {
    kind: 'granted',
    workspace: undefined,
  });
});

test('a key among ten thousand is found in under 0.02 ms of processor time on average', (t) => {
  const workspaces = Array.from({ length: 1_000 }, (_none, index) => ({
    name: `w${index}`,
    keyDigests: Array.from({ length: 10 }, (_also, key) => `digest-${index}-${key}`),
  }));
  const largeTable = createRouteTable({
    version: 1,
    routes: [route],
    services: [],
    limits,
    workspaces,
  });
  const start = process.cpuUsage();
  for (let count = 0; count < 10_000; count += 1) {
    largeTable.workspaceOfKey('digest-999-9');
  }
  const { user, system } = process.cpuUsage(start);
  t.true((user + system) / 1_000 / 10_000 < 0.02);
});
