/** Reads request bodies within limits on size and time. */
import type { IncomingMessage } from 'node:http';
import { err, errAsync, ok, ResultAsync, type Result } from 'neverthrow';
import {
  createBodyReaderPool,
  createPortResources,
  type BodyReaderPool,
  type RequestBodyOutcome,
} from '@bluebellhitch/ports';
import { assertNever } from '@bluebellhitch/shared';

export type BodyError =
  | { kind: 'too-large'; maxBytes: number }
  /** The bodies of other callers take all memory for them. */
  | { kind: 'no-memory' }
  /** The body did not arrive in time. */
  | { kind: 'timeout'; timeoutMs: number }
  /** The caller disconnected. */
  | { kind: 'aborted' };

export interface ReadBodyOptions {
  maxBytes: number;
  /** Time within which the complete body must arrive; a pause of this process does not count. */
  timeoutMs: number;
  /** Shared by all requests of the process. Default: of its own. */
  bodies?: BodyReaderPool;
  /** Called with the function that frees the body, which is counted until then. Default: it is never freed. */
  onHeld?: (release: () => void) => void;
}

/** The request's `Content-Length` in bytes. */
export function declaredLength(incoming: IncomingMessage): number | undefined {
  const text = incoming.headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/** Reads the complete body; after an error the rest is not read. */
export function readBody(
  incoming: IncomingMessage,
  options: ReadBodyOptions,
): ResultAsync<Buffer, BodyError> {
  const { maxBytes } = options;
  if ((declaredLength(incoming) ?? 0) > maxBytes) {
    return errAsync({ kind: 'too-large', maxBytes });
  }
  return new ResultAsync(collectBody(incoming, options));
}

async function collectBody(
  incoming: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Result<Buffer, BodyError>> {
  const { maxBytes, timeoutMs, onHeld = () => undefined } = options;
  const { bodies = createBodyReaderPool(createPortResources().memory) } = options;
  const { done, release } = bodies.read(incoming, { maxBodyBytes: maxBytes, timeoutMs });
  onHeld(release);
  const outcome = await done;
  if (outcome.kind === 'whole') {
    return ok(outcome.body);
  }
  incoming.pause();
  return err(bodyErrorOf(outcome.kind, options));
}

function bodyErrorOf(
  kind: Exclude<RequestBodyOutcome['kind'], 'whole'>,
  { maxBytes, timeoutMs }: ReadBodyOptions,
): BodyError {
  switch (kind) {
    case 'too-large':
      return { kind, maxBytes };
    case 'no-memory':
      return { kind };
    case 'overdue':
      return { kind: 'timeout', timeoutMs };
    case 'caller-left':
      return { kind: 'aborted' };
    default:
      return assertNever(kind);
  }
}
