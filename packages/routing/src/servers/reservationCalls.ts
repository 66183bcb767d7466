/**
 * Calls that reserve memory at engines. A call whose time is up is not ended at once: an engine that was only silent grants
 * it as soon as it goes on, and memory of an unknown reservation would stay unused until the engine's own limit.
 */
import { startPauseTolerantTimer } from '@bluebellhitch/shared';
import type { BackendApi, CallOutcome, Reservation, ReserveOptions } from '../backendApi';
import type { BackendServer } from '../model';

export interface ReservationRequest extends ReserveOptions {
  /** Called once after the outcome 'late'. A reservation must then be used or released. */
  onLate(outcome: CallOutcome<Reservation>): void;
}

export type ReservationOutcome =
  | CallOutcome<Reservation>
  /** No answer in time; it may still come. */
  | { kind: 'late' };

export type ReserveMemory = (
  server: BackendServer,
  request: ReservationRequest,
) => Promise<ReservationOutcome>;

/** Sound engines are silent for a second or so. */
const lateResponseMs = 3_000;
/** Such calls hold connections, which may be dead while new ones work. */
const maxLateCalls = 4;

export function createReserveMemory(backend: Pick<BackendApi, 'reserve'>): ReserveMemory {
  const lateCalls = new Map<string, number>();

  function countLate({ id }: BackendServer, change: number): void {
    const count = (lateCalls.get(id) ?? 0) + change;
    if (count === 0) {
      lateCalls.delete(id);
    } else {
      lateCalls.set(id, count);
    }
  }

  return (server, { onLate, timeoutMs, signal, ...request }) =>
    new Promise((resolve) => {
      let isLate = false;
      const ended = new AbortController();
      const giveUp = () => ended.abort();
      const timer = startPauseTolerantTimer(timeoutMs, () => {
        signal.removeEventListener('abort', giveUp);
        if ((lateCalls.get(server.id) ?? 0) >= maxLateCalls) {
          giveUp();
          return;
        }
        isLate = true;
        countLate(server, 1);
        resolve({ kind: 'late' });
      });
      const end = (outcome: CallOutcome<Reservation>) => {
        timer.stop();
        signal.removeEventListener('abort', giveUp);
        if (isLate) {
          countLate(server, -1);
          onLate(outcome);
        } else {
          resolve(outcome);
        }
      };
      signal.addEventListener('abort', giveUp, { once: true });
      if (signal.aborted) {
        giveUp();
      }
      void backend
        .reserve(server, {
          ...request,
          timeoutMs: timeoutMs + lateResponseMs,
          signal: ended.signal,
        })
        .then(end);
    });
}
