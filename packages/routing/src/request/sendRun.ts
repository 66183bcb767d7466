/** Sends a caller's request to a backend server, and reads what the response may promise to the caller. */
import { monotonicNowMs } from '@bluebellhitch/shared';
import type { BackendResponse, CallOutcome, RunOptions } from '../backendApi';
import { notRunStatuses, type BackendServer } from '../model';
import { drainBody } from '../servers/responseBody';
import { maySend, remainingMs, type RequestState } from './requestState';
import type { RouterDependencies } from './routerDependencies';

export type SendOptions = Pick<RunOptions, 'signal' | 'reservation' | 'prefill' | 'lastEventId'>;

/** Counts the request as one that has reached the server; the caller takes that back for one that did not. */
export async function sendRun(
  server: BackendServer,
  state: RequestState,
  { backend }: Pick<RouterDependencies, 'backend'>,
  options: SendOptions,
): Promise<CallOutcome<BackendResponse>> {
  const availableMs = remainingMs(state);
  state.lastSentAtMs = monotonicNowMs();
  state.sentCount += 1;
  const outcome = await backend.run(server, state.request, {
    ...options,
    remainingMs: availableMs,
    headTimeoutMs: availableMs,
    maySend: () => maySend(state),
  });
  return state.mayRepeat() ? outcome : withoutUnprovenPromise(outcome);
}

/** A response that states that nothing ran has become `not-run`; of any other one with such a status, nothing is known. */
async function withoutUnprovenPromise(
  outcome: CallOutcome<BackendResponse>,
): Promise<CallOutcome<BackendResponse>> {
  if (outcome.kind !== 'done' || !notRunStatuses.includes(outcome.value.status)) {
    return outcome;
  }
  const { status, body } = outcome.value;
  await drainBody(body);
  return { kind: 'lost', detail: `answer ${status} without proof`, isOurs: false };
}
