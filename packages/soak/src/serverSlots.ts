/** The slots of the soak's backend servers, and what servers in them send. A slot keeps its service and its index. */
import type { RunBehaviour, StandinWorker } from '@bluebellhitch/platform-standins';
import { stages, type Stage } from '@bluebellhitch/routing';
import type { LoopbackProxy } from './loopbackProxy';

export const serviceNames = { letters: 'letters', counter: 'counter', desk: 'desk' } as const;
export type ServiceName = (typeof serviceNames)[keyof typeof serviceNames];

export interface ServerErrors {
  run: RunBehaviour;
  share: number;
}

export interface ServerSlot {
  index: number;
  service: ServiceName;
  stage?: Stage;
  /** Of the next servers that start in the slot. */
  softwareVersion: string;
  errors?: ServerErrors;
  rejectedPrefillShare: number;
  slowdown: number;
  current?: RunningServer;
  startCount: number;
}

export interface RunningServer {
  worker: StandinWorker;
  proxy: LoopbackProxy;
}

/** One prefill engine more than the routers want, so that they have a reason to order a change of stage. */
export const slotLayout: readonly Pick<ServerSlot, 'service' | 'stage'>[] = [
  { service: serviceNames.letters, stage: stages.prefill },
  { service: serviceNames.letters, stage: stages.prefill },
  { service: serviceNames.letters, stage: stages.decode },
  { service: serviceNames.letters, stage: stages.decode },
  { service: serviceNames.letters, stage: stages.decode },
  { service: serviceNames.counter },
  { service: serviceNames.counter },
  { service: serviceNames.counter },
  { service: serviceNames.desk },
  { service: serviceNames.desk },
];
/** Kind of the servers' entries in the store. */
export const serverEntryKind = 'servers';
/** How often a server writes its entry, where the soak plays that. */
export const heartbeatMs = 400;
/** An entry expires after three missed heartbeats. */
export const entryExpiryMs = 3 * heartbeatMs;
export const streamEvents = 12;
/** Software versions of the servers; the first one serves at the start. */
export const streamVersions = ['v1', 'v2'] as const;
export type StreamVersion = (typeof streamVersions)[number];

/** Responses to one in eight requests have neither a length nor chunks. */
export function isUnframed(requestId: string): boolean {
  return Number(requestId.slice(1)) % 8 === 0;
}

/** Response body of a plain request. */
export function plainText(requestId: string, serverId: string): string {
  return `${requestId} at ${serverId}`;
}

/** Text of a stream's event, which depends on nothing of the server but the version of its software. */
export function eventText(requestId: string, event: number, softwareVersion: string): string {
  return `${requestId} ${event} ${softwareVersion}`;
}
