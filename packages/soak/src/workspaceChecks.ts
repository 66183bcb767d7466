/** Checks of API keys and quotas by callers' responses and arrivals at backend servers. */
import type { QuotaSlack } from '@bluebellhitch/decisions';
import {
  createBackgroundLoop,
  delay,
  monotonicNowMs,
  type BackgroundLoop,
} from '@bluebellhitch/shared';
import { promises, type Findings } from './findings';
import { limitedQuota, limitedWorkspace } from './keyring';
import type { Arrival, Ledger, SentRequest } from './ledger';

export interface WorkspaceChecksOptions {
  ledger: Ledger;
  findings: Findings;
  /** No router may run a request sent later than this after its key was revoked, regardless of faults. */
  revocationMs: number;
  quotaSlack: QuotaSlack;
  /** Tokens of a model request. */
  modelTokens: number;
  marginMs: number;
}

export interface WorkspaceChecks {
  onArrival(arrival: Arrival, request: SentRequest): void;
  /** Checks a 401 response: it is a finding if the key was valid. */
  onUnknownKey(request: SentRequest): void;
  quotaLoop: BackgroundLoop;
}

const intervalMs = 500;
const msPerSecond = 1_000;

export function createWorkspaceChecks(options: WorkspaceChecksOptions): WorkspaceChecks {
  const { ledger, findings, revocationMs, quotaSlack, marginMs } = options;

  function onArrival(arrival: Arrival, { id, routerName, sentAtMs, shownKey }: SentRequest): void {
    const { workspaceName, takenAtMs } = shownKey;
    const add = (detail: string) => findings.add(promises.keys, `${routerName}: ${detail}`, id);
    if (workspaceName === undefined) {
      add('a request with an unknown key ran');
    }
    if (arrival.hasCredential || arrival.workspaceName !== workspaceName) {
      add(
        `a server was told of ${arrival.workspaceName}, and ${arrival.hasCredential ? 'its' : 'no'} key`,
      );
    }
    const lateMs = sentAtMs - takenAtMs - revocationMs;
    if (lateMs > marginMs) {
      add(`ran ${Math.round(lateMs)} ms after its key had to stop`);
    }
  }

  function onUnknownKey({ id, routerName, sentAtMs, endedAtMs = 0, shownKey }: SentRequest): void {
    const { givenAtMs, takenAtMs } = shownKey;
    if (givenAtMs + revocationMs + marginMs < sentAtMs && endedAtMs < takenAtMs) {
      findings.add(promises.keys, `${routerName}: 401 for a key in force`, id);
    }
  }

  /** Counts each request once, even if it was resumed. */
  function tokensIn(fromMs: number): number {
    const ids = new Set(
      ledger
        .arrivals()
        .filter(({ atMs, hasRun, isPrefill }) => atMs > fromMs && hasRun && !isPrefill)
        .map(({ requestId }) => requestId),
    );
    return [...ids]
      .map((id) => ledger.request(id))
      .filter((one) => one?.shownKey.workspaceName === limitedWorkspace && one.sentAtMs > fromMs)
      .reduce((sum, one) => sum + costOf(one as SentRequest), 0);
  }

  function costOf({ routeKind }: SentRequest): number {
    return routeKind === 'stream' ? options.modelTokens : limitedQuota.plainTokens;
  }

  function checkQuota(): void {
    const { windowMs, overageShare, amount } = quotaSlack;
    const { ratePerSecond, burst } = limitedQuota;
    const maxTokens =
      ((ratePerSecond * windowMs) / msPerSecond + burst) * (1 + overageShare) + amount;
    const tokens = tokensIn(monotonicNowMs() - windowMs);
    if (tokens > maxTokens) {
      findings.add(
        promises.quota,
        `${tokens} tokens of one workspace in a window, ${maxTokens} allowed`,
      );
    }
  }

  return {
    onArrival,
    onUnknownKey,
    quotaLoop: createBackgroundLoop(async (signal) => {
      while (!signal.aborted) {
        await delay(intervalMs, signal);
        checkQuota();
      }
    }),
  };
}
