/**
 * Decides whether a request may run for the workspace that its API key belongs to. Keys may be revoked while a router
 * is partitioned from the platform: a key is accepted only if the configuration was recently proved to be complete,
 * whatever the router has in memory. Pure; the router decides again before each further attempt.
 */
import { notRunReasons, type Credential, type Refusal, type Route, type Workspace } from '../model';
import type { RouteTable } from '../routeTable';

/** Whether the configuration in force is known to be the newest. */
export interface ConfigurationFreshness {
  /** No change is missing that was acknowledged longer ago than the bound for revoked keys. */
  isProved: boolean;
  /** Another router has seen a newer configuration, which has not arrived here yet. */
  isBehind: boolean;
  /** The store was restored from a backup a short time ago, and may lack versions that no router has seen. */
  mayLackVersions: boolean;
}

export interface AccessQuery {
  table: RouteTable;
  /** Undefined if no route matches: a key is then required, so that callers without one cannot probe for routes. */
  route: Route | undefined;
  credential: Credential;
  freshness: ConfigurationFreshness;
}

export type AccessDecision =
  /** `workspace` may be absent if the route needs no key, and is if the configuration has no workspaces. */
  { kind: 'granted'; workspace?: Workspace } | { kind: 'refused'; refusal: Refusal };

/**
 * About the duration of one call to the store. Callers may try another router at once, so a longer wait is not needed.
 */
const staleRetryAfterMs = 200;
/** An operator notices a restore and writes again within seconds; no router can serve the key sooner. */
const restoredRetryAfterMs = 1_000;

export function decideAccess({ table, route, credential, freshness }: AccessQuery): AccessDecision {
  if (table.configuration.workspaces === undefined) {
    return { kind: 'granted' };
  }
  const workspace = credential.kind === 'key' ? table.workspaceOfKey(credential.digest) : undefined;
  if (route?.allowsAnonymous) {
    return { kind: 'granted', workspace };
  }
  // Otherwise a revoked key would still be accepted, or a newly issued one refused with a final error.
  if (!freshness.isProved || (workspace === undefined && freshness.isBehind)) {
    const reason = notRunReasons.staleConfiguration;
    return refuse({ kind: 'not-run', reason, retryAfterMs: staleRetryAfterMs });
  }
  if (workspace !== undefined) {
    return { kind: 'granted', workspace };
  }
  // No missing version can hold an unreadable key, nor one that is known to have been revoked.
  const mayBeMissing = credential.kind === 'key' && !table.isRevokedKey(credential.digest);
  if (mayBeMissing && freshness.mayLackVersions) {
    const reason = notRunReasons.restoredStore;
    return refuse({ kind: 'not-run', reason, retryAfterMs: restoredRetryAfterMs });
  }
  return refuse({ kind: 'unknown-key' });
}

function refuse(refusal: Refusal): AccessDecision {
  return { kind: 'refused', refusal };
}
