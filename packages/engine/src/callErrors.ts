/** Time-outs of calls to an engine, and the errors by which they end. */
import type { ResponseBodyError } from '@bluebellhitch/ports';
import { isConnectError } from '@bluebellhitch/shared';
import type { EngineError } from './engineApi';
import { errorBodySchema } from './engineWire';

export interface CallLimits {
  timeoutMs: number;
  signal?: AbortSignal;
}

export const abortedByCaller: EngineError = { kind: 'failed', detail: 'aborted by the caller' };

export type CallAbort = ReturnType<typeof createCallAbort>;

/** Combines a call's timeout with its caller's signal; `errorFrom` reports which of them aborted the call. */
export function createCallAbort(request: CallLimits) {
  const controller = new AbortController();
  const abort = () => controller.abort();
  let hasTimedOut = false;
  const timer = setTimeout(() => {
    hasTimedOut = true;
    abort();
  }, request.timeoutMs);
  request.signal?.addEventListener('abort', abort);
  if (request.signal?.aborted === true) {
    abort();
  }
  const stopTimer = () => clearTimeout(timer);
  return {
    signal: controller.signal,
    stopTimer,
    release: () => {
      stopTimer();
      request.signal?.removeEventListener('abort', abort);
    },
    errorFrom: (cause: unknown): EngineError => {
      if (hasTimedOut) {
        return { kind: 'timeout', detail: `no answer in ${request.timeoutMs} ms` };
      }
      return request.signal?.aborted === true ? abortedByCaller : errorFromCause(cause);
    },
  };
}

/** The client was closed; the request may have been sent before. */
const closedErrorCodes: readonly string[] = ['UND_ERR_DESTROYED', 'UND_ERR_CLOSED'];
const timeoutErrorCodes: readonly string[] = ['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT'];

function errorFromCause(cause: unknown): EngineError {
  const code = String((cause as { code?: unknown }).code ?? '');
  const detail = cause instanceof Error ? cause.message : String(cause);
  if (isConnectError(cause)) {
    return { kind: 'not-started', detail };
  }
  if (closedErrorCodes.includes(code)) {
    return { kind: 'failed', detail };
  }
  if (timeoutErrorCodes.includes(code)) {
    return { kind: 'timeout', detail };
  }
  return { kind: 'died', detail };
}

export function errorFromReading(error: ResponseBodyError, callAbort: CallAbort): EngineError {
  return error.kind === 'too-long'
    ? { kind: 'failed', detail: error.detail }
    : callAbort.errorFrom(error.cause);
}

export function errorFromBody(statusCode: number, body: unknown): EngineError {
  const parsed = errorBodySchema.safeParse(body);
  return parsed.success
    ? parsed.data.error
    : { kind: 'failed', detail: `engine answered ${statusCode}` };
}
