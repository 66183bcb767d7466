/** Whether a model request can go on at another server. */
import type { ModelRun } from './modelTypes';

/** Whether a server of the service, other than `exceptId`, has not been tried for the request yet. */
export function hasUntriedServer(run: ModelRun, exceptId?: string): boolean {
  const { members } = run.context.runtimes.members(run.request.document);
  return members.some(({ id }) => id !== exceptId && !run.tried.has(id));
}
