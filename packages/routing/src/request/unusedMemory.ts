/** Memory at engines that a run no longer needs, as it is not sent. */
import type { PrefillResult, Reservation } from '../backendApi';
import type { Placement } from '../servers/decodePlacement';
import type { StreamRun } from './streamRun';

/** Releases the reservation and the prefill result of a run that is not started. */
export function releaseUnused(
  run: StreamRun,
  { reservation }: Placement,
  result: PrefillResult | undefined,
): void {
  const { deps, size } = run;
  releaseUnsent(run, reservation, result);
  if (result !== undefined) {
    deps.metrics.countWastedPrefillTokens(size.promptTokens);
  }
}

export function releaseUnsent(
  { deps }: StreamRun,
  reservation: Reservation,
  result: PrefillResult | undefined,
): void {
  deps.backend.releaseReservation(reservation);
  if (result !== undefined) {
    deps.backend.releasePrefill(result);
  }
}
