/** Domain types of the router: configuration, backend servers and requests, independent of any wire format. */
import { digestParts } from '@bluebellhitch/shared';
import type { StorePosition } from '@bluebellhitch/protocol';

/** Whether requests of a route may be executed more than once. */
export const routeKinds = {
  /** The response is an event stream. The request is executed once, unless the route allows resuming. */
  stream: 'stream',
  idempotent: 'idempotent',
  /** Executed at most once. */
  nonIdempotent: 'non-idempotent',
} as const;
export type RouteKind = (typeof routeKinds)[keyof typeof routeKinds];

/** A service that receives requests of a route; `weight` is relative to the route's other targets. */
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
  /** Maximum time from the request's arrival to the end of its response. */
  timeoutMs: number;
  /** Latency target for the response, or for the first event of a stream. */
  targetLatencyMs: number;
  /** Latency target between two events of a stream; 0 for other kinds of routes. */
  targetGapMs: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Maximum number of backend servers to which one request is sent. */
  maxAttempts: number;
  /** An interrupted stream may be resumed at another backend server after its last event. */
  allowsResume: boolean;
  /** Callers need no API key, even if the configuration has workspaces. */
  allowsAnonymous?: boolean;
  targets: readonly RouteTarget[];
}

/** Unit in which a workspace's quota is counted. */
export const quotaUnits = { requests: 'requests', tokens: 'tokens' } as const;
export type QuotaUnit = (typeof quotaUnits)[keyof typeof quotaUnits];

/** Limit on what a workspace may send through all routers together. */
export interface WorkspaceQuota {
  unit: QuotaUnit;
  ratePerSecond: number;
  /** Amount that may be used at once, in addition to the rate. */
  burst: number;
  /** Tokens charged for a request that does not state its size; used if `unit` is tokens. */
  plainTokens: number;
}

/** A tenant of the fleet, identified by its API keys. */
export interface Workspace {
  name: string;
  /** One digest for each API key; see `digestOfKey`. */
  keyDigests: readonly string[];
  /** Overrides the route's priority; 0 is the most urgent. */
  priority?: number;
  /** Absent if the workspace has no limit. */
  quota?: WorkspaceQuota;
}

/** Parameters of a service's model engines. */
export interface EngineSettings {
  /** KV-cache memory of one engine, in tokens. */
  kvTokens: number;
  /** Maximum duration of a reservation that an engine grants. */
  reservationLimitMs: number;
  /** Time that an engine is unavailable while it changes its stage. */
  stageSwitchMs: number;
}

export interface ServiceSettings {
  name: string;
  /** Maximum number of connections that one backend server accepts from all its clients together. */
  maxConnections: number;
  /** Path at which a server reports its health. */
  healthPath?: string;
  /** Absent for plain services, which have no model engines. */
  engine?: EngineSettings;
}

/** Limits on the size and duration of callers' requests, and on idle connections. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

export interface Configuration {
  /** Increases with every change. */
  version: number;
  routes: readonly Route[];
  services: readonly ServiceSettings[];
  limits: CallerLimits;
  /** Absent if callers need no API key. */
  workspaces?: readonly Workspace[];
}

/** The part of a model request that an engine executes. */
export const stages = { prefill: 'prefill', decode: 'decode' } as const;
export type Stage = (typeof stages)[keyof typeof stages];

/**
 * One incarnation of a backend server, from its start to its exit. A restarted server has lost all its state, so it is
 * treated as another server with another id: state kept by id (loads, circuit breakers, pending orders, prefill
 * results) is not carried over. The fields are logged under their names.
 */
export interface BackendServer {
  /** Identifies the incarnation; see `serverIdOf`. */
  id: string;
  /** Name in the platform's server list; a server may keep it across restarts. */
  name: string;
  /** Start time of the incarnation in Unix milliseconds, if the server reports it. */
  bornAtMs?: number;
  /** Sequence number of the list entry, increased by the server with each write; absent if not reported. */
  entryNumber?: number;
  /** Position in the store at which this entry was read; absent if it was not read there. */
  entryPosition?: StorePosition;
  serviceName: string;
  /** `ip:port`; may be reused by another server once this one has stopped. */
  address: string;
  dataCentre: string;
  slots: number;
  isDraining: boolean;
  /** Absent for servers of plain services. */
  stage?: Stage;
  /** Version of the server's software, not of its model's weights; see `softwareVersionOf`. */
  softwareVersion: string;
}

const maxVersionLength = 64;

/**
 * Versions have no order: they are only compared for equality. Servers that state no version count as being of one
 * version. A long text is replaced by its digest, because routers include versions in their datagrams.
 */
export function softwareVersionOf(text = ''): string {
  return text.length <= maxVersionLength ? text : digestParts([text]);
}

const startTimeRadix = 36;

/** Returns the id of an incarnation. It is short, because routers include it in their datagrams. */
export function serverIdOf(name: string, bornAtMs: number | undefined): string {
  return bornAtMs === undefined ? name : `${name}~${bornAtMs.toString(startTimeRadix)}`;
}

/** Size of a model request as stated by its caller. */
export interface PromptSize {
  promptTokens: number;
  maxOutputTokens: number;
  /** The caller's estimate of the output; its median is accurate, single values are often far off. */
  expectedOutputTokens?: number;
}

/** A credential presented by a caller. Only the digest of a key is kept, so that no log or server gets the key. */
export type Credential =
  | { kind: 'none' }
  | { kind: 'key'; digest: string }
  /** Given more than once, in an unsupported scheme, or too long. */
  | { kind: 'unreadable' };

/** A caller's request with its complete body. */
export interface CallerRequest {
  /** Unique for each request; a caller's retry has another id. */
  id: string;
  method: string;
  host: string;
  /** Path and query as received. */
  target: string;
  /** Alternating names and values of the headers that are forwarded unchanged to the backend server. */
  headers: readonly string[];
  body: Buffer;
  /** Time until which the caller waits, in milliseconds on the monotonic clock. */
  deadlineAtMs: number;
  /** Time at which the request's head had been read, in milliseconds on the monotonic clock. */
  arrivedAtMs: number;
  /** Absent for plain requests. */
  prompt?: PromptSize;
  /** Ids of the parts of the prompt that other requests may share, in order; absent if not stated. */
  sharedParts?: readonly string[];
  /** Id of the last event that the caller has received, if it resumes a stream. */
  lastEventId?: number;
  /** Id of the request that brought the first event of the stream that the caller resumes. */
  resumedRequestId?: string;
  credential: Credential;
  /**
   * Alternating names and values of the headers that carry the credential. They are forwarded only if the configuration
   * has no workspaces.
   */
  credentialHeaders: readonly string[];
  /** Workspace that the caller's key belongs to, once it has been looked up. */
  workspaceName?: string;
}

/** Reason why a request ends without a backend server's response. */
export type Refusal =
  | { kind: 'no-route' }
  /** The caller's key belongs to no workspace. */
  | { kind: 'unknown-key' }
  /** The workspace's quota is used up; without `retryAfterMs` if the request exceeds what the quota can ever allow. */
  | { kind: 'over-quota'; retryAfterMs?: number }
  | { kind: 'malformed'; detail: string }
  | { kind: 'too-large'; part: 'header' | 'body' }
  /** The body was not complete in time, so the request has not been executed. */
  | { kind: 'body-overdue' }
  /** Guaranteed not to have been executed, now or later. */
  | { kind: 'not-run'; reason: NotRunReason; retryAfterMs: number }
  /** May have been executed: the backend server's response was lost or invalid. */
  | { kind: 'answer-lost'; detail: string }
  /** May have been executed: there was no complete response in time. */
  | { kind: 'timed-out' };

/** Callers take these for the promise that the request has not run and never will, and send it again. */
export const notRunStatuses: readonly number[] = [408, 421, 429, 503];

export const notRunReasons = {
  noConfiguration: 'no-configuration',
  noServer: 'no-server',
  noCapacity: 'no-capacity',
  /** No server is left of the software version that has begun the stream. */
  noServerOfVersion: 'no-server-of-version',
  /** It is not known which software version has begun the stream that the caller resumes, and several serve. */
  unknownOrigin: 'unknown-origin',
  rejected: 'rejected',
  /** The request has crashed servers that ran it. */
  quarantined: 'quarantined',
  overloaded: 'overloaded',
  /** The router stops, and its requests may be cut off before they are complete. */
  stopping: 'stopping',
  /** The router's configuration may be outdated: keys may have been revoked that it still accepts. */
  staleConfiguration: 'stale-configuration',
  /** The key is unknown, but the store was just restored: versions that its backup lacks may be written again. */
  restoredStore: 'restored-store',
} as const;
export type NotRunReason = (typeof notRunReasons)[keyof typeof notRunReasons];
