/** Selects which servers of a service are asked, from this entry's own information about them. */
import type { Candidate, CandidateSelector, WorkerNeed } from '@bluebellhitch/decisions';
import type { ServiceDocument } from '@bluebellhitch/document';
import { workerRoles } from '@bluebellhitch/protocol';
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { RequestContext } from './requestContext';

/** The part of a run that selection depends on. */
export interface SelectingRun {
  tried: ReadonlySet<string>;
  struck: boolean;
}

export interface ServerQuery {
  context: Pick<RequestContext, 'runtimes' | 'strikes'>;
  run: SelectingRun;
  document: ServiceDocument;
  selector: CandidateSelector;
  need: WorkerNeed;
  key?: string;
}

/** Servers that the run must not use: those tried and, if it has strikes, those of other such requests. */
export function forbiddenServers({
  context,
  run,
  document,
}: Pick<ServerQuery, 'context' | 'run' | 'document'>): Set<string> {
  const avoided = run.struck ? context.strikes.avoidInstances(document.service) : [];
  return new Set([...run.tried, ...avoided]);
}

/** Servers that are avoided while others are left: ejected by the circuit breaker, or not ready. */
export function unhealthyServers({
  context,
  document,
}: Pick<ServerQuery, 'context' | 'document'>): string[] {
  const { outliers, unready } = context.runtimes.of(document.service);
  const nowMs = monotonicNowMs();
  return [...outliers.ejected(nowMs), ...unready.current(nowMs)];
}

/** Whether any server outside `excluded` can decode, according to its last known role. */
export function hasDecodeServer(
  { context, document }: Pick<ServerQuery, 'context' | 'document'>,
  excluded: ReadonlySet<string>,
): boolean {
  const { hints } = context.runtimes;
  return context.runtimes
    .members(document)
    .members.some(
      ({ id, role }) => (hints.role(id) ?? role) !== workerRoles.prefill && !excluded.has(id),
    );
}

/** Selects candidates among the healthy servers, or among the unhealthy ones if only these are left. */
export function selectServers(query: ServerQuery): Candidate[] {
  const { context, document, selector, need, key } = query;
  const { members, version } = context.runtimes.members(document);
  const forbidden = forbiddenServers(query);
  const select = (excluded: ReadonlySet<string>) =>
    selector.select({
      instances: members,
      membershipVersion: version,
      need,
      key,
      excluded,
      nowMs: monotonicNowMs(),
    });
  const preferred = select(new Set([...forbidden, ...unhealthyServers(query)]));
  return preferred.length > 0 ? preferred : select(forbidden);
}
