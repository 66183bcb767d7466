/** Sends exports to other engines over the link that all of this engine's transfers share. */
import { err, ok, type Result } from 'neverthrow';
import type { EngineError } from '@bluebellhitch/engine';
import type { KvTransfer } from './engineOptions';
import type { ExportStore } from './exportStore';
import { createRateLimitedLink, type RateLimitedLink } from './rateLimitedLink';

export interface KvExporterOptions {
  exports: ExportStore;
  link: RateLimitedLink;
  pieceBytes: number;
}

/** Opens a transfer whose rate is limited by the link and by `rateBytesPerSecond`. */
export function openKvTransfer(
  options: KvExporterOptions,
  exportId: string,
  rateBytesPerSecond: number,
  signal: AbortSignal,
): Result<KvTransfer, EngineError> {
  const kvExport = options.exports.get(exportId);
  if (kvExport === undefined) {
    return err({ kind: 'gone', detail: `no export ${exportId}` });
  }
  const { kvBytes: totalBytes, promptTokens } = kvExport;
  const transferLimit = createRateLimitedLink(rateBytesPerSecond);
  const pieces = sendPieces(options, exportId, totalBytes, signal, (bytes) =>
    Promise.all([options.link.transmit(bytes, signal), transferLimit.transmit(bytes, signal)]),
  );
  return ok({ totalBytes, promptTokens, pieces });
}

async function* sendPieces(
  options: KvExporterOptions,
  exportId: string,
  totalBytes: number,
  signal: AbortSignal,
  transmit: (bytes: number) => Promise<unknown>,
): AsyncGenerator<number, void, undefined> {
  const endRead = options.exports.beginRead(exportId);
  let sentBytes = 0;
  try {
    while (sentBytes < totalBytes) {
      const bytes = Math.min(options.pieceBytes, totalBytes - sentBytes);
      await transmit(bytes);
      if (signal.aborted || options.exports.get(exportId) === undefined) {
        return;
      }
      sentBytes += bytes;
      yield bytes;
    }
  } finally {
    endRead(sentBytes >= totalBytes);
  }
}
