/** What the router knows of routes, backend servers and requests, whatever interface they came by. */

/** What may be repeated on a route. */
export const routeKinds = {
  /** The answer is a series of events. It runs once, unless the route allows to resume it. */
  stream: 'stream',
  idempotent: 'idempotent',
  /** Runs at most once. */
  nonIdempotent: 'non-idempotent',
} as const;
export type RouteKind = (typeof routeKinds)[keyof typeof routeKinds];

/** A service that a route leads to, with its share of the route's requests. */
export interface RouteTarget {
  serviceName: string;
  weight: number;
}

export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  /** Longest time that a caller is kept waiting for the whole answer. */
  timeoutMs: number;
  /** Within this time an answer, or a stream's first event, is worth most. */
  targetLatencyMs: number;
  /** Longest pause between a stream's events that is still on time; 0 for other kinds. */
  targetGapMs: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Backend servers to which one request may be sent. */
  maxAttempts: number;
  /** A stream may go on at another backend server after its last event. */
  allowsResume: boolean;
  /** Callers need no API key, also where the configuration has workspaces. */
  needsNoKey?: boolean;
  targets: readonly RouteTarget[];
}

/** What a workspace's quota counts. */
export const quotaUnits = { requests: 'requests', tokens: 'tokens' } as const;
export type QuotaUnit = (typeof quotaUnits)[keyof typeof quotaUnits];

/** How much a workspace may send through all routers together. */
export interface WorkspaceQuota {
  unit: QuotaUnit;
  ratePerSecond: number;
  /** Besides the rate, at once. */
  burst: number;
  /** What a request that states no sizes counts as, where tokens are counted. */
  plainTokens: number;
}

/** One of those that share the fleet, known by its API keys. */
export interface Workspace {
  name: string;
  /** Of each key; see `digestOfKey`. */
  keyDigests: readonly string[];
  /** Goes before the route's; 0 is the most urgent. */
  priority?: number;
  /** Absent where the workspace may send without limit. */
  quota?: WorkspaceQuota;
}

/** Figures of a service's model engines. */
export interface EngineSettings {
  /** Memory of one engine. */
  kvTokens: number;
  /** Longest reservation that an engine grants. */
  reservationLimitMs: number;
  /** How long an engine is away while it changes its stage. */
  stageSwitchMs: number;
}

export interface ServiceSettings {
  name: string;
  /** Connections that one backend server takes from all callers together. */
  maxConnections: number;
  /** Absent for plain services. */
  engine?: EngineSettings;
}

/** Bounds for what a caller may send, and for how long it may take or stay idle. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

export interface Configuration {
  /** Only ever grows. */
  version: number;
  routes: readonly Route[];
  services: readonly ServiceSettings[];
  limits: CallerLimits;
  /** Absent where callers need no API key. */
  workspaces?: readonly Workspace[];
}

export const stages = { prefill: 'prefill', decode: 'decode' } as const;
export type Stage = (typeof stages)[keyof typeof stages];

/**
 * One life of a backend server. A server that starts again holds and knows nothing of before, so its next life is
 * another server: what is kept by id (loads, breakers, pending orders, prefill results) does not carry over.
 */
export interface BackendServer {
  /** Of this life; see `serverIdOf`. */
  id: string;
  /** What the platform lists it by; a server may keep it when it starts again. */
  name: string;
  /** Start of this life in Unix milliseconds, where the server tells it. */
  bornAtMs?: number;
  /** Grows with each entry that the server writes, where it tells it. */
  entryNumber?: number;
  serviceName: string;
  /** `ip:port`; may belong to another server once this one is gone. */
  address: string;
  dataCentre: string;
  slots: number;
  isDraining: boolean;
  /** Absent for plain services. */
  stage?: Stage;
}

const bornRadix = 36;

/** The id of a life: short, for routers repeat it in their datagrams. */
export function serverIdOf(name: string, bornAtMs: number | undefined): string {
  return bornAtMs === undefined ? name : `${name}~${bornAtMs.toString(bornRadix)}`;
}

/** The sizes of a model request, as its caller states them. */
export interface PromptSize {
  promptTokens: number;
  maxOutputTokens: number;
  /** The caller's guess at the output; right in the middle, often far off. */
  expectedOutputTokens?: number;
}

/** What a caller shows of itself. The key is not kept: what is not there is in no log and goes to no server. */
export type Credential =
  | { kind: 'none' }
  | { kind: 'key'; digest: string }
  /** Given twice, of another scheme, or too long. */
  | { kind: 'unreadable' };

/** A caller's request, read whole. */
export interface CallerRequest {
  /** Of this one try of the caller; each further try has another. */
  id: string;
  method: string;
  host: string;
  /** Path and query, as they came. */
  target: string;
  /** Names and values by turns: what goes on to the backend server as it came. */
  headers: readonly string[];
  body: Buffer;
  /** Time until which the caller waits, on the monotonic clock. */
  deadlineAtMs: number;
  /** When the request's head had been read, on the monotonic clock. */
  arrivedAtMs: number;
  /** Absent for plain requests. */
  prompt?: PromptSize;
  /** The caller has the stream's events up to this one. */
  lastEventId?: number;
  credential: Credential;
  /** As the credential came, names and values by turns: it goes on only where the configuration has no workspaces. */
  credentialHeaders: readonly string[];
  /** That of the caller's key, once it is known. */
  workspaceName?: string;
}

/** Why a request ends without a backend server's answer. */
export type Refusal =
  | { kind: 'no-route' }
  /** No workspace holds the caller's key. */
  | { kind: 'unknown-key' }
  /** The workspace has used up its quota; without a time where the request is larger than it could ever be. */
  | { kind: 'over-quota'; retryAfterMs?: number }
  | { kind: 'malformed'; detail: string }
  | { kind: 'too-large'; part: 'header' | 'body' }
  /** Certainly has not run and will not run. */
  | { kind: 'not-run'; reason: NotRunReason; retryAfterMs: number }
  /** May have run: the backend server's answer was lost or broken. */
  | { kind: 'answer-lost'; detail: string }
  /** May have run: no answer in time. */
  | { kind: 'timed-out' };

export const notRunReasons = {
  noConfiguration: 'no-configuration',
  noServer: 'no-server',
  noCapacity: 'no-capacity',
  rejected: 'rejected',
  overloaded: 'overloaded',
  /** Keys may have been taken away that this router does not know of. */
  staleConfiguration: 'stale-configuration',
} as const;
export type NotRunReason = (typeof notRunReasons)[keyof typeof notRunReasons];
