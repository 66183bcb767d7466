/** The status of one service, as text and as JSON data. */
import type { ServiceStatus } from '@bluebellhitch/duties';
import type { AcceptedDocument } from '@bluebellhitch/document';
import type { PlatformInstance } from '@bluebellhitch/objects';
import type { QueriedProcess } from './adminPorts';
import type { TextStyles } from './ctlIo';
import { formatCount, indent, renderFinding } from './render';
import type { QuarantineEntry } from './serviceState';

/** What is shown about one service. */
export interface ServiceView {
  service: string;
  /** Version of the document that operators wrote; absent if there is none. */
  documentVersion?: number;
  status?: ServiceStatus;
  accepted?: AcceptedDocument;
  quarantine: QuarantineEntry[];
}

/** State of the fleet that is shared by all services. */
export interface FleetView {
  instances: PlatformInstance[];
  processes: QueriedProcess[];
}

/** The generation that is active in one process; absent if the process does not know the service. */
interface ActiveGeneration {
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
    inForce: activeGenerationsOf(service, fleet.processes),
    silentProcesses: fleet.processes.filter(({ kind }) => kind === 'silent'),
  };
}

export function describeService(styles: TextStyles, view: ServiceView, fleet: FleetView): string[] {
  return [
    styles.bold(view.service),
    ...indent([
      describeDocument(styles, view),
      ...(view.status?.findings ?? []).map((finding) => renderFinding(view.service, finding)),
      describeAccepted(view),
      ...describeActiveGenerations(styles, view, fleet),
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
  const crashed =
    instanceIds.length === 0 ? '' : `, crashed while running it: ${instanceIds.join(', ')}`;
  switch (verdict.kind) {
    case 'clear':
      return `${fingerprint} is clear`;
    case 'struck':
      return `${fingerprint} is isolated from other struck requests after ${formatCount(verdict.strikeCount, 'strike')}${crashed}`;
    case 'quarantined': {
      const seconds = Math.ceil(verdict.retryAfterMs / 1000);
      const strikes = formatCount(verdict.strikeCount, 'strike');
      return `${fingerprint} is refused for ${seconds} s more after ${strikes}${crashed}`;
    }
    case 'blocked':
      return `${fingerprint} is refused until the document unblocks it${crashed}`;
    default:
      return verdict satisfies never;
  }
}

function describeDocument(styles: TextStyles, { documentVersion, status }: ServiceView): string {
  if (status === undefined || status.documentVersion < (documentVersion ?? 0)) {
    return `document: version ${documentVersion} is not accepted or rejected yet`;
  }
  return status.state === 'accepted'
    ? `document: version ${status.documentVersion} was ${styles.success('accepted')}`
    : `document: version ${status.documentVersion} was ${styles.failure('rejected')}`;
}

function describeAccepted({ accepted }: ServiceView): string {
  return accepted === undefined
    ? 'accepted: nothing yet'
    : `accepted: generation ${accepted.generation}, made from version ` +
        `${accepted.documentVersion} at ${accepted.acceptedAt}`;
}

function describeActiveGenerations(
  styles: TextStyles,
  view: ServiceView,
  { processes }: FleetView,
): string[] {
  if (processes.length === 0) {
    return ['in force: no admin port is known; name those of the processes with --admin'];
  }
  const active = activeGenerationsOf(view.service, processes).filter(
    ({ generation }) => generation !== undefined,
  );
  const current = active.filter(({ generation }) => generation === view.accepted?.generation);
  const others = active.filter(({ generation }) => generation !== view.accepted?.generation);
  const unresponsive = processes.flatMap((process) => (process.kind === 'silent' ? [process] : []));
  return [
    `in force: at ${current.length} of ${active.length} processes that answered and know the service`,
    ...indent([
      ...others.map(({ instanceId, dataCentre, generation }) =>
        styles.failure(`${instanceId} in ${dataCentre} has generation ${generation}`),
      ),
      ...unresponsive.map(({ address, detail }) => styles.dim(`${address}: ${detail}`)),
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

function activeGenerationsOf(
  service: string,
  processes: readonly QueriedProcess[],
): ActiveGeneration[] {
  return processes.flatMap((process) => {
    if (process.kind === 'silent') {
      return [];
    }
    const { instanceId, dataCentre, generations } = process.config;
    return [{ instanceId, dataCentre, generation: generations[service] }];
  });
}
