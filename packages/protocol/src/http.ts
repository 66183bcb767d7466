/** Paths and headers of the HTTP parts of the inner protocol, and of the callers' side. */

export const innerPaths = {
  /** trpc routers of agents and entries. */
  trpc: '/trpc',
  /** `POST`: a model answer as an event stream of `StreamFrame`. */
  streams: '/streams',
  /** Any method: a plain call, passed to the backend server with this prefix removed. */
  plain: '/plain',
} as const;

/** Headers between entry and agent on plain calls; removed before the backend server sees the call. */
export const innerHeaders = {
  entryId: 'x-bluebell-entry',
  entryIncarnation: 'x-bluebell-entry-incarnation',
  attemptId: 'x-bluebell-attempt',
  requestId: 'x-bluebell-request',
  institution: 'x-bluebell-institution',
  className: 'x-bluebell-class',
  service: 'x-bluebell-service',
  deadlineInMs: 'x-bluebell-deadline-ms',
  /** Credentials of the entry; `Authorization` on a plain call is the caller's own. */
  authorization: 'x-bluebell-authorization',
  /** On answers to polls of the feed: proves that a process of the fleet wrote them. */
  seal: 'x-bluebell-seal',
  /** On the agent's answer: `true` where the call certainly did not run. */
  notRun: 'x-bluebell-not-run',
  /** On the agent's answer: an `AgentRefusalReason`, where the agent itself answered. */
  refusal: 'x-bluebell-refusal',
  /** On the agent's answer: a JSON `LoadHint`. */
  load: 'x-bluebell-load',
} as const;

/** Headers that callers send. */
export const callerHeaders = {
  idempotencyKey: 'idempotency-key',
  institution: 'x-institution',
  workspace: 'x-workspace',
  className: 'x-class',
  noRepeat: 'x-no-repeat',
  requestId: 'x-request-id',
} as const;

/** Hop-by-hop headers (RFC 9110, section 7.6.1): never forwarded. */
export const hopByHopHeaders: readonly string[] = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];
