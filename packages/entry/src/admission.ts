/** Admission checks before any attempt: quarantine and rate limits, for model and plain requests. */
import { rateKey } from '@bluebellhitch/decisions';
import type { ServiceDocument, TrafficClass } from '@bluebellhitch/document';
import type { RequestOrigin } from '@bluebellhitch/protocol';
import {
  assertNever,
  createRefusal,
  monotonicNowMs,
  refusalReasons,
  type Refusal,
} from '@bluebellhitch/shared';
import { retryCauses } from '@bluebellhitch/telemetry';
import type { RequestContext } from './requestContext';

/** The part of a request that admission depends on. */
export interface AdmissibleRequest {
  document: ServiceDocument;
  trafficClass: TrafficClass;
  origin: RequestOrigin;
  /** Undefined if the request cannot be recognised when it is sent again. */
  fingerprint?: string;
}

export interface QuarantineCheck {
  /** The request has strikes: it may run, but not on the same server as another one with strikes. */
  struck: boolean;
  refusal?: Refusal;
}

export function checkQuarantine(
  context: Pick<RequestContext, 'strikes'>,
  { document, fingerprint }: AdmissibleRequest,
): QuarantineCheck {
  if (fingerprint === undefined) {
    return { struck: false };
  }
  const verdict = context.strikes.verdict(document, fingerprint);
  switch (verdict.kind) {
    case 'clear':
    case 'struck':
      return { struck: verdict.kind === 'struck' };
    case 'quarantined':
      return quarantined(
        `${verdict.strikeCount} backend servers died while they ran this request`,
        verdict.retryAfterMs,
      );
    case 'blocked':
      return quarantined("the service's document blocks this request");
    default:
      return assertNever(verdict);
  }
}

/** Returns a refusal if the request's class has reached its rate limit. */
export function checkRate(
  context: Pick<RequestContext, 'runtimes' | 'instances'>,
  { document, trafficClass, origin }: AdmissibleRequest,
): Refusal | undefined {
  const { requestsPerSecond, burst, name } = trafficClass;
  if (requestsPerSecond === undefined) {
    return undefined;
  }
  const { rateLimiter } = context.runtimes;
  rateLimiter.setEntryCount(context.instances.entries().length);
  const decision = rateLimiter.take({
    key: rateKey(origin.institution, document.service, name),
    limit: { requestsPerSecond, burst },
    nowMs: monotonicNowMs(),
  });
  return decision.kind === 'admitted'
    ? undefined
    : createRefusal({
        reason: refusalReasons.rateLimited,
        detail: `class ${name} has reached its rate`,
        retryAfterMs: decision.retryAfterMs,
      });
}

/** Takes one retry from the service's budget; counts in the metrics if the budget is exhausted. */
export function takeRetry(
  context: Pick<RequestContext, 'runtimes' | 'metrics'>,
  service: string,
): boolean {
  const taken = context.runtimes.retryBudget.tryTake(service, monotonicNowMs());
  if (!taken) {
    context.metrics.countRetry(retryCauses.budgetExhausted);
  }
  return taken;
}

function quarantined(detail: string, retryAfterMs?: number): QuarantineCheck {
  const { quarantined: reason } = refusalReasons;
  return { struck: false, refusal: createRefusal({ reason, detail, retryAfterMs }) };
}
