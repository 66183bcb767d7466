/** KV cache imported from other engines, held until a decode claims it or a cancel drops it. */
import { err, ok, type Result } from 'neverthrow';
import type {
  EngineError,
  EngineHolding,
  ImportInput,
  ImportProgress,
} from '@bluebellhitch/engine';
import type { KvPeer, KvTransfer } from './engineOptions';
import type { KvLedger } from './kvLedger';
import type { RateLimitedLink } from './rateLimitedLink';

export interface KvImportsOptions {
  ledger: KvLedger;
  link: RateLimitedLink;
  connectPeer: (kvAddress: string) => KvPeer;
  onChange: () => void;
}

export interface KvImports {
  run(
    input: ImportInput,
    onProgress: (progress: ImportProgress) => void,
    signal?: AbortSignal,
  ): Promise<Result<ImportProgress, EngineError>>;
  /** Removes a finished import and passes the ownership of its memory to the caller. */
  claim(attemptId: string): { heldKvBytes: number } | undefined;
  drop(attemptId: string): void;
  holdings(): EngineHolding[];
  clear(): void;
}

interface Entry {
  heldKvBytes: number;
  done: boolean;
  controller: AbortController;
}

export function createKvImports(options: KvImportsOptions): KvImports {
  const entries = new Map<string, Entry>();

  function drop(attemptId: string): void {
    const entry = entries.get(attemptId);
    if (entry === undefined) {
      return;
    }
    entries.delete(attemptId);
    entry.controller.abort();
    options.ledger.free(entry.heldKvBytes);
    options.onChange();
  }

  async function receive(
    transfer: KvTransfer,
    onProgress: (progress: ImportProgress) => void,
    signal: AbortSignal,
  ): Promise<number> {
    const { totalBytes } = transfer;
    let receivedBytes = 0;
    let transmitted = Promise.resolve();
    const advance = (bytes: number) => {
      receivedBytes += bytes;
      onProgress({ receivedBytes, totalBytes, done: false });
    };
    for await (const bytes of transfer.pieces) {
      await transmitted;
      if (signal.aborted) {
        break;
      }
      // The next piece is read while the link transmits this one.
      transmitted = options.link.transmit(bytes, signal).then(() => advance(bytes));
    }
    await transmitted;
    return receivedBytes;
  }

  async function transferInto(
    entry: Entry,
    input: ImportInput,
    onProgress: (progress: ImportProgress) => void,
  ): Promise<Result<ImportProgress, EngineError>> {
    const { signal } = entry.controller;
    const peer = options.connectPeer(input.kvAddress);
    const opened = await peer.openExport(input.exportId, input.rateBytesPerSecond, signal);
    if (opened.isErr()) {
      return err(opened.error);
    }
    const { totalBytes } = opened.value;
    if (signal.aborted) {
      return err({ kind: 'gone', detail: 'the import was cancelled' });
    }
    if (!options.ledger.allocate(totalBytes)) {
      entry.controller.abort();
      return err({ kind: 'out-of-memory', detail: `no room for ${totalBytes} bytes` });
    }
    entry.heldKvBytes = totalBytes;
    const receivedBytes = await receive(opened.value, onProgress, signal);
    if (signal.aborted) {
      return err({ kind: 'gone', detail: 'the import was cancelled' });
    }
    if (receivedBytes < totalBytes) {
      return err({ kind: 'failed', detail: `transfer broke off at ${receivedBytes} bytes` });
    }
    entry.done = true;
    const last = { receivedBytes, totalBytes, done: true };
    onProgress(last);
    return ok(last);
  }

  return {
    run: async (input, onProgress, signal) => {
      const { attemptId } = input;
      if (entries.has(attemptId)) {
        return err({ kind: 'failed', detail: `attempt ${attemptId} already imports` });
      }
      const entry: Entry = { heldKvBytes: 0, done: false, controller: new AbortController() };
      entries.set(attemptId, entry);
      const dropEntry = () => entries.get(attemptId) === entry && drop(attemptId);
      signal?.addEventListener('abort', dropEntry);
      const result = await transferInto(entry, input, onProgress);
      signal?.removeEventListener('abort', dropEntry);
      if (result.isErr()) {
        dropEntry();
      }
      return result;
    },
    claim: (attemptId) => {
      const entry = entries.get(attemptId);
      if (entry?.done !== true) {
        return undefined;
      }
      entries.delete(attemptId);
      return { heldKvBytes: entry.heldKvBytes };
    },
    drop,
    holdings: () =>
      [...entries].map(([attemptId, { heldKvBytes }]) => ({
        attemptId,
        phase: 'import' as const,
        heldKvBytes,
      })),
    clear: () => [...entries.keys()].forEach(drop),
  };
}
