/** One simulated caller: sends a request, waits with a timeout, retries after a refusal, and records the outcome. */
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

export interface CallerResult {
  outcome: CallerOutcome;
  /** For each refused attempt, the time until the refusal. */
  heldMs: number[];
  kindName: string;
  promptTokens: number;
}

export interface CallerOptions {
  kind: RequestKind;
  size: RequestSize;
  nextRequestId(): string;
  /** Serves one attempt at a router. */
  serve(exchange: CallerExchange): Promise<void>;
  noteRequest(requestId: string, size: RequestSize): void;
  /** The caller disconnects this long after each attempt began, unless an event has arrived by then. */
  disconnectAfterMs?: number;
  /** How many times it retries immediately, regardless of `retryAfterMs`; replaces the retries of its kind. */
  immediateRetries?: number;
  onEnd(end: CallerResult): void;
}

type AttemptOutcome =
  | { kind: 'complete' }
  | { kind: 'refused'; refusal: Refusal }
  | { kind: 'aborted' }
  | { kind: 'left' };

const minEventTimeoutMs = 2_000;
const eventTimeoutTargets = 4;
const eventTimeoutGaps = 8;
/** The longest pause before a retry, as a share of the time left, regardless of `retryAfterMs`. */
const retryAfterShare = 1 / 3;

export async function runCaller(options: CallerOptions): Promise<void> {
  const { kind, immediateRetries } = options;
  const firstAskedAtMs = monotonicNowMs();
  const endsAtMs = firstAskedAtMs + kind.timeoutMs;
  const progress = createProgressTracker(kind, firstAskedAtMs);
  const heldMs: number[] = [];
  const maxAttempts = 1 + (immediateRetries ?? kind.retries);
  let outcome: CallerOutcome = 'failed';
  for (let attemptsLeft = maxAttempts; attemptsLeft > 0; attemptsLeft -= 1) {
    const askedAtMs = monotonicNowMs();
    const end = await attempt(options, progress, endsAtMs);
    outcome = resolveOutcome(end, progress.isLate());
    if (end.kind !== 'refused' || end.refusal.kind !== 'not-run') {
      break;
    }
    heldMs.push(monotonicNowMs() - askedAtMs);
    if (attemptsLeft === 1) {
      break;
    }
    const maxPauseMs = (endsAtMs - monotonicNowMs()) * retryAfterShare;
    const pauseMs = immediateRetries === undefined ? end.refusal.retryAfterMs : 0;
    await delay(Math.min(pauseMs, maxPauseMs));
  }
  options.onEnd({
    outcome,
    heldMs,
    kindName: kind.name,
    promptTokens: options.size.prompt.promptTokens,
  });
}

function resolveOutcome(end: AttemptOutcome, isLate: boolean): CallerOutcome {
  switch (end.kind) {
    case 'complete':
      return isLate ? 'late' : 'on-time';
    case 'refused':
      return end.refusal.kind === 'not-run' ? 'refused' : 'failed';
    case 'aborted':
      return 'failed';
    case 'left':
      return 'left';
  }
}

function createProgressTracker({ targetMs, gapMs }: RequestKind, firstAskedAtMs: number) {
  let firstEventMs: number | undefined;
  let lastEventAtMs = 0;
  let maxGapMs = 0;
  return {
    note() {
      const nowMs = monotonicNowMs();
      if (firstEventMs === undefined) {
        firstEventMs = nowMs - firstAskedAtMs;
      } else {
        maxGapMs = Math.max(maxGapMs, nowMs - lastEventAtMs);
      }
      lastEventAtMs = nowMs;
    },
    isLate: () => (firstEventMs ?? Infinity) > targetMs || maxGapMs > gapMs,
  };
}

async function attempt(
  options: CallerOptions,
  progress: ReturnType<typeof createProgressTracker>,
  endsAtMs: number,
): Promise<AttemptOutcome> {
  const { kind, size } = options;
  const requestId = options.nextRequestId();
  options.noteRequest(requestId, size);
  const disconnect = new AbortController();
  const eventTimeoutMs = Math.max(
    minEventTimeoutMs,
    eventTimeoutTargets * kind.targetMs,
    eventTimeoutGaps * kind.gapMs,
  );
  let eventTimer = setTimeout(
    () => disconnect.abort(),
    options.disconnectAfterMs ?? eventTimeoutMs,
  );
  let end: AttemptOutcome = { kind: 'left' };
  const note = () => {
    progress.note();
    clearTimeout(eventTimer);
    eventTimer = setTimeout(() => disconnect.abort(), eventTimeoutMs);
  };
  const writer: ResponseWriter = {
    write() {
      note();
      return true;
    },
    onDrained: () => undefined,
    end() {
      end = { kind: 'complete' };
    },
    abort() {
      end = { kind: 'aborted' };
    },
  };
  await options.serve({
    request: createRequest(requestId, kind, size, endsAtMs),
    signal: disconnect.signal,
    respond() {
      end = { kind: 'aborted' };
    },
    refuse(refusal) {
      end = { kind: 'refused', refusal };
    },
    startResponse: () => writer,
  });
  clearTimeout(eventTimer);
  return disconnect.signal.aborted ? { kind: 'left' } : end;
}

function createRequest(
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
