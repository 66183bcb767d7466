/** HTTP paths and headers of the inner protocol, and the headers that callers send. */

export const innerPaths = {
  /** trpc routers of agents and entries. */
  trpc: '/trpc',
  /** `POST`: a model response as an event stream of `StreamFrame`. */
  streams: '/streams',
  /** Any method: a plain call, forwarded to the backend server without this prefix. */
  plain: '/plain',
} as const;

/** Headers between entry and agent on plain calls; not forwarded to the backend server. */
export const innerHeaders = {
  entryId: 'x-bluebell-entry',
  entryIncarnation: 'x-bluebell-entry-incarnation',
  attemptId: 'x-bluebell-attempt',
  requestId: 'x-bluebell-request',
  institution: 'x-bluebell-institution',
  className: 'x-bluebell-class',
  service: 'x-bluebell-service',
  deadlineInMs: 'x-bluebell-deadline-ms',
  /** Credentials of the entry, because `Authorization` on a plain call belongs to the caller. */
  authorization: 'x-bluebell-authorization',
  /** On replies to feed polls: a signature that proves that a process of this system wrote the reply. */
  seal: 'x-bluebell-seal',
  /** On the agent's response: `true` if the call certainly did not run. */
  notRun: 'x-bluebell-not-run',
  /** On the agent's response: an `AgentRefusalReason`, if the agent itself refused the call. */
  refusal: 'x-bluebell-refusal',
  /** On the agent's response: a JSON `LoadHint`. */
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
