/** What refuses a request before any attempt: quarantine and rate limits, for model and plain traffic. */
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

/** The part of a request that admission looks at. */
export interface AdmissibleRequest {
  document: ServiceDocument;
  trafficClass: TrafficClass;
  origin: RequestOrigin;
  /** Absent where the request cannot be recognised. */
  fingerprint?: string;
}

export interface QuarantineCheck {
  /** The request may run, but beside no other one that was struck. */
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

/** A refusal where the request's class has used up its rate. */
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

/** Takes one retry out of the service's budget and counts where there is none. */
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
