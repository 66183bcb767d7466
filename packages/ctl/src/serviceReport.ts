/** The status of one service, for people and as data. */
import type { ServiceStatus } from '@bluebellhitch/duties';
import type { AcceptedDocument } from '@bluebellhitch/document';
import type { PlatformInstance } from '@bluebellhitch/objects';
import type { AskedProcess } from './adminPorts';
import type { Paint } from './ctlIo';
import { countOf, indent, renderFinding } from './render';
import type { QuarantineEntry } from './serviceState';

/** All that is shown about one service. */
export interface ServiceView {
  service: string;
  /** Version of the operators' text; absent where there is none. */
  documentVersion?: number;
  status?: ServiceStatus;
  accepted?: AcceptedDocument;
  quarantine: QuarantineEntry[];
}

/** What does not belong to a single service. */
export interface FleetView {
  instances: PlatformInstance[];
  processes: AskedProcess[];
}

/** What one process has in force; `generation` is absent where it does not know the service. */
interface InForce {
  instanceId: string;
  dataCentre: string;
  generation?: number;
}

export function serviceData(view: ServiceView, fleet: FleetView): Record<string, unknown> {
  const { service, documentVersion, status, accepted, quarantine } = view;
  return {
    service,
    documentVersion,
    state: status?.state ?? 'pending',
    statusVersion: status?.documentVersion,
    findings: status?.findings ?? [],
    generation: accepted?.generation,
    acceptedAt: accepted?.acceptedAt,
    acceptedVersion: accepted?.documentVersion,
    drains: drainsOf(view, fleet),
    quarantine,
    inForce: inForceOf(service, fleet.processes),
    silentProcesses: fleet.processes.filter(({ kind }) => kind === 'silent'),
  };
}

export function describeService(paint: Paint, view: ServiceView, fleet: FleetView): string[] {
  return [
    paint.strong(view.service),
    ...indent([
      describeEdit(paint, view),
      ...(view.status?.findings ?? []).map((finding) => renderFinding(view.service, finding)),
      describeAccepted(view),
      ...describeInForce(paint, view, fleet),
      ...describeDrains(view, fleet),
      ...view.quarantine.map((entry) => `quarantine: ${describeQuarantineEntry(entry)}`),
    ]),
  ];
}

export function describeQuarantineEntry({
  fingerprint,
  verdict,
  instanceIds,
}: QuarantineEntry): string {
  const under = instanceIds.length === 0 ? '' : `, died under it: ${instanceIds.join(', ')}`;
  switch (verdict.kind) {
    case 'clear':
      return `${fingerprint} is clear`;
    case 'struck':
      return `${fingerprint} runs apart after ${countOf(verdict.strikeCount, 'strike')}${under}`;
    case 'quarantined': {
      const seconds = Math.ceil(verdict.retryAfterMs / 1000);
      const strikes = countOf(verdict.strikeCount, 'strike');
      return `${fingerprint} is refused for ${seconds} s more after ${strikes}${under}`;
    }
    case 'blocked':
      return `${fingerprint} is refused until the document unblocks it${under}`;
    default:
      return verdict satisfies never;
  }
}

function describeEdit(paint: Paint, { documentVersion, status }: ServiceView): string {
  if (status === undefined || status.documentVersion < (documentVersion ?? 0)) {
    return `document: version ${documentVersion} awaits its verdict`;
  }
  return status.state === 'accepted'
    ? `document: version ${status.documentVersion} was ${paint.good('accepted')}`
    : `document: version ${status.documentVersion} was ${paint.bad('rejected')}`;
}

function describeAccepted({ accepted }: ServiceView): string {
  return accepted === undefined
    ? 'accepted: nothing yet'
    : `accepted: generation ${accepted.generation}, made from version ` +
        `${accepted.documentVersion} at ${accepted.acceptedAt}`;
}

function describeInForce(paint: Paint, view: ServiceView, { processes }: FleetView): string[] {
  if (processes.length === 0) {
    return ['in force: no process was asked; name their admin ports with --admin'];
  }
  const knowing = inForceOf(view.service, processes).filter(
    ({ generation }) => generation !== undefined,
  );
  const current = knowing.filter(({ generation }) => generation === view.accepted?.generation);
  const others = knowing.filter(({ generation }) => generation !== view.accepted?.generation);
  const silent = processes.flatMap((process) => (process.kind === 'silent' ? [process] : []));
  return [
    `in force: at ${current.length} of ${knowing.length} that answered and know the service`,
    ...indent([
      ...others.map(({ instanceId, dataCentre, generation }) =>
        paint.bad(`${instanceId} in ${dataCentre} has generation ${generation}`),
      ),
      ...silent.map(({ address, detail }) => paint.faint(`${address}: ${detail}`)),
    ]),
  ];
}

function describeDrains(view: ServiceView, fleet: FleetView): string[] {
  return drainsOf(view, fleet).map(({ instanceId, state }) => `drained: ${instanceId} (${state})`);
}

function drainsOf({ accepted }: ServiceView, { instances }: FleetView) {
  const drained = accepted?.document.drain.instances ?? [];
  return drained.map((instanceId) => ({ instanceId, state: stateOf(instanceId, instances) }));
}

function stateOf(instanceId: string, instances: readonly PlatformInstance[]): string {
  return instances.find(({ id }) => id === instanceId)?.state ?? 'not in the instance list';
}

function inForceOf(service: string, processes: readonly AskedProcess[]): InForce[] {
  return processes.flatMap((process) => {
    if (process.kind === 'silent') {
      return [];
    }
    const { instanceId, dataCentre, generations } = process.config;
    return [{ instanceId, dataCentre, generation: generations[service] }];
  });
}
