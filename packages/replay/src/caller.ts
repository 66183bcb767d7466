/** One caller: asks, waits as long as callers do, comes back when told to, and notes how it went. */
import type {
  ResponseWriter,
  CallerExchange,
  CallerRequest,
  Refusal,
} from '@bluebellhitch/routing';
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { RequestKind } from './pattern';
import type { RequestSize } from './requestSizes';

export type CallerOutcome = 'on-time' | 'late' | 'refused' | 'failed' | 'left';

export interface CallerEnd {
  outcome: CallerOutcome;
  /** Of all tries that were refused, until they were. */
  heldMs: number[];
  kindName: string;
  promptTokens: number;
}

export interface CallerOptions {
  kind: RequestKind;
  size: RequestSize;
  nextRequestId(): string;
  /** Serves one try at a router. */
  serve(exchange: CallerExchange): Promise<void>;
  noteRequest(requestId: string, size: RequestSize): void;
  /** The caller leaves this long after it first asked. */
  leavesAfterMs?: number;
  /** It comes back at once, whatever it is told, this often. */
  repeats?: number;
  onEnd(end: CallerEnd): void;
}

type TryEnd =
  { kind: 'whole' } | { kind: 'refused'; refusal: Refusal } | { kind: 'cut' } | { kind: 'left' };

const leastPatienceMs = 2_000;
const patienceTargets = 4;
const patienceGaps = 8;
/** Callers come back after this part of the time that they have left at the latest, whatever they are told. */
const retryAfterShare = 1 / 3;

export async function runCaller(options: CallerOptions): Promise<void> {
  const { kind, repeats } = options;
  const firstAskedAtMs = monotonicNowMs();
  const endsAtMs = firstAskedAtMs + kind.timeoutMs;
  const progress = createProgress(kind, firstAskedAtMs);
  const heldMs: number[] = [];
  const tries = 1 + (repeats ?? kind.retries);
  let outcome: CallerOutcome = 'failed';
  for (let left = tries; left > 0; left -= 1) {
    const askedAtMs = monotonicNowMs();
    const end = await tryOnce(options, progress, endsAtMs);
    outcome = outcomeOf(end, progress.isLate());
    if (end.kind !== 'refused' || end.refusal.kind !== 'not-run') {
      break;
    }
    heldMs.push(monotonicNowMs() - askedAtMs);
    if (left === 1) {
      break;
    }
    const longestPauseMs = (endsAtMs - monotonicNowMs()) * retryAfterShare;
    const pauseMs = repeats === undefined ? end.refusal.retryAfterMs : 0;
    await delay(Math.min(pauseMs, longestPauseMs));
  }
  options.onEnd({
    outcome,
    heldMs,
    kindName: kind.name,
    promptTokens: options.size.prompt.promptTokens,
  });
}

function outcomeOf(end: TryEnd, isLate: boolean): CallerOutcome {
  switch (end.kind) {
    case 'whole':
      return isLate ? 'late' : 'on-time';
    case 'refused':
      return end.refusal.kind === 'not-run' ? 'refused' : 'failed';
    case 'cut':
      return 'failed';
    case 'left':
      return 'left';
  }
}

function createProgress({ targetMs, gapMs }: RequestKind, firstAskedAtMs: number) {
  let firstMs: number | undefined;
  let lastAtMs = 0;
  let longestGapMs = 0;
  return {
    note() {
      const nowMs = monotonicNowMs();
      if (firstMs === undefined) {
        firstMs = nowMs - firstAskedAtMs;
      } else {
        longestGapMs = Math.max(longestGapMs, nowMs - lastAtMs);
      }
      lastAtMs = nowMs;
    },
    isLate: () => (firstMs ?? Infinity) > targetMs || longestGapMs > gapMs,
  };
}

async function tryOnce(
  options: CallerOptions,
  progress: ReturnType<typeof createProgress>,
  endsAtMs: number,
): Promise<TryEnd> {
  const { kind, size } = options;
  const requestId = options.nextRequestId();
  options.noteRequest(requestId, size);
  const leaving = new AbortController();
  const patienceMs = Math.max(
    leastPatienceMs,
    patienceTargets * kind.targetMs,
    patienceGaps * kind.gapMs,
  );
  let patience = setTimeout(() => leaving.abort(), options.leavesAfterMs ?? patienceMs);
  let end: TryEnd = { kind: 'left' };
  const note = () => {
    progress.note();
    clearTimeout(patience);
    patience = setTimeout(() => leaving.abort(), patienceMs);
  };
  const writer: ResponseWriter = {
    write() {
      note();
      return true;
    },
    onDrained: () => undefined,
    end() {
      end = { kind: 'whole' };
    },
    abort() {
      end = { kind: 'cut' };
    },
  };
  await options.serve({
    request: requestOf(requestId, kind, size, endsAtMs),
    signal: leaving.signal,
    respond() {
      end = { kind: 'cut' };
    },
    refuse(refusal) {
      end = { kind: 'refused', refusal };
    },
    startResponse: () => writer,
  });
  clearTimeout(patience);
  return leaving.signal.aborted ? { kind: 'left' } : end;
}

function requestOf(
  id: string,
  kind: RequestKind,
  { prompt }: RequestSize,
  deadlineAtMs: number,
): CallerRequest {
  return {
    id,
    method: 'POST',
    host: 'replay',
    target: `/${kind.name}/`,
    headers: [],
    body: Buffer.alloc(0),
    deadlineAtMs,
    arrivedAtMs: monotonicNowMs(),
    prompt,
    credential: { kind: 'none' },
    credentialHeaders: [],
  };
}
