/** Fetches KV cache from another engine over HTTP. */
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { request } from 'undici';
import {
  enginePaths,
  errorBodySchema,
  kvEventSchema,
  readEventStream,
  type EngineError,
  type KvEvent,
} from '@bluebellhitch/engine';
import type { KvPeer, KvTransfer } from './engineOptions';

export function createHttpKvPeer(kvAddress: string): KvPeer {
  return {
    openExport: (exportId, rateBytesPerSecond, signal) =>
      new ResultAsync(
        open(
          `${kvAddress}${enginePaths.kv}/${encodeURIComponent(exportId)}?rate=${rateBytesPerSecond}`,
          signal,
        ),
      ),
  };
}

async function open(url: string, signal: AbortSignal): Promise<Result<KvTransfer, EngineError>> {
  try {
    const { statusCode, body } = await request(url, { signal });
    if (statusCode !== 200) {
      const parsed = errorBodySchema.safeParse(await body.json());
      return err(parsed.success ? parsed.data.error : failed(`the peer answered ${statusCode}`));
    }
    const events = readEventStream(body, kvEventSchema);
    const first = await events.next();
    if (first.done === true || first.value.kind !== 'open') {
      return err(failed('the peer did not begin the transfer'));
    }
    const { totalBytes, promptTokens } = first.value;
    return ok({ totalBytes, promptTokens, pieces: readPieces(events) });
  } catch (cause) {
    return err(failed(`the peer cannot be reached: ${String(cause)}`));
  }
}

async function* readPieces(
  events: AsyncIterable<KvEvent>,
): AsyncGenerator<number, void, undefined> {
  for await (const event of events) {
    if (event.kind === 'bytes') {
      yield event.bytes;
    }
  }
}

function failed(detail: string): EngineError {
  return { kind: 'failed', detail };
}
