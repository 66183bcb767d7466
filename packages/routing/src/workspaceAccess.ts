/**
 * Whether a request may run for the workspace whose API key it shows. Answers keys that are taken away while a router
 * is cut off from the platform: a key counts only where the configuration was proved complete lately, whatever
 * the router has in memory. Pure; the router asks again before each further attempt.
 */
import { notRunReasons, type Credential, type Refusal, type Route, type Workspace } from './model';
import type { RouteTable } from './routeTable';

/** How well the configuration in force is known to be the newest. */
export interface ConfigurationFreshness {
  /** No change has been missed that was acknowledged longer ago than the bound for keys that are taken away. */
  isProved: boolean;
  /** Another router has seen a newer configuration, which is on its way here. */
  isBehind: boolean;
}

export interface AccessQuery {
  table: RouteTable;
  /** Undefined where no route matches: then a key is needed, so that strangers learn nothing of the routes. */
  route: Route | undefined;
  credential: Credential;
  freshness: ConfigurationFreshness;
}

export type AccessDecision =
  /** `workspace` is absent where the route needs no key, or where the configuration has no workspaces. */
  { kind: 'granted'; workspace?: Workspace } | { kind: 'refused'; refusal: Refusal };

/** About the time of a look at the store. Another router may be asked at once, so callers need not wait longer. */
const freshAgainMs = 200;

export function decideAccess({ table, route, credential, freshness }: AccessQuery): AccessDecision {
  if (table.configuration.workspaces === undefined) {
    return { kind: 'granted' };
  }
  const workspace = credential.kind === 'key' ? table.workspaceOfKey(credential.digest) : undefined;
  if (route?.needsNoKey) {
    return { kind: 'granted', workspace };
  }
  // A key that was taken away would still open, and one that was just given would be refused for good.
  if (!freshness.isProved || (workspace === undefined && freshness.isBehind)) {
    const reason = notRunReasons.staleConfiguration;
    return { kind: 'refused', refusal: { kind: 'not-run', reason, retryAfterMs: freshAgainMs } };
  }
  return workspace === undefined
    ? { kind: 'refused', refusal: { kind: 'unknown-key' } }
    : { kind: 'granted', workspace };
}
