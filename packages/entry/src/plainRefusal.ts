/** Recognises a refusal by the agent itself among the responses to plain calls. */
import { agentRefusalReasonSchema, innerHeaders, type AgentRefusal } from '@bluebellhitch/protocol';

type HeaderValues = Record<string, string | string[] | undefined>;

/** Returns undefined if the response comes from the backend server. */
export function parsePlainRefusal(headers: HeaderValues): AgentRefusal | undefined {
  const reason = agentRefusalReasonSchema.safeParse(headers[innerHeaders.refusal]);
  if (!reason.success) {
    return undefined;
  }
  return {
    kind: 'refused',
    reason: reason.data,
    notRun: headers[innerHeaders.notRun] === 'true' ? true : 'unknown',
    detail: `the agent refused: ${reason.data}`,
    ...parseRetryAfter(headers),
  };
}

function parseRetryAfter(headers: HeaderValues): { retryAfterMs?: number } {
  const seconds = Number(headers['retry-after']);
  return Number.isFinite(seconds) && seconds > 0 ? { retryAfterMs: seconds * 1000 } : {};
}
