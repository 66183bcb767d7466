/**
 * Passes a response's body on in few parts and in turns. A server may send it in chunks of a byte, and each chunk that is
 * passed on by itself costs a write with its objects and a chunk of its own to the caller. The chunks of one read are put
 * together, and passed on once the parser has gone through all of it. A flow that is paused in the middle of a read would
 * hold the rest and one further read each time, and hold more with each pause.
 */
import { createBodyBuffer, type Holding, type Holdings } from '@bluebellhitch/ports';
import type { BodyReader, ResponseBody } from '../backendApi';
import type { ChunkTurns } from './chunkTurns';

/** One read: a connection holds one of a flow that goes on, beside what is kept of it. */
const maxInputBytes = 65_536;

export interface CompactBodyOptions {
  turns: ChunkTurns;
  /** Ends the call. A reader that is behind by then is notified here, as the body itself may be over. */
  signal?: AbortSignal;
  /** What is kept of all responses. Default: not counted. */
  holdings?: Holdings;
}

export function createCompactBody(
  body: ResponseBody,
  { turns, signal, holdings }: CompactBodyOptions,
): ResponseBody {
  let holding: Holding | undefined;
  let keptBytes = 0;
  /** Bytes received when nothing was held last. */
  let receivedBefore = 0;
  let lostDetail: string | undefined;
  let reader: BodyReader | undefined;
  let batch = createBodyBuffer();
  /** Parts that the reader has not taken yet; they stand before the batch. */
  let parts: Buffer[] = [];
  let isReaderBehind = false;
  let hasEnded = false;
  let isOver = false;
  let stopWaiting: (() => void) | undefined;

  function takePart(): Buffer | undefined {
    if (parts.length === 0 && batch.length() > 0) {
      parts = batch.takeParts();
      batch = createBodyBuffer();
    }
    return parts.shift();
  }

  /** Passes on what was read, and the end, as long as the reader does not pause the flow. */
  function deliver(): void {
    while (!isReaderBehind && !isOver) {
      const part = takePart();
      if (part === undefined) {
        break;
      }
      reader?.onData(part);
    }
    if (hasEnded && !isReaderBehind && !isOver) {
      endOver();
      reader?.onEnd();
    }
    countHeld();
  }

  function endOver(): void {
    isOver = true;
    holding?.end();
    batch.clear();
    parts = [];
    signal?.removeEventListener('abort', onAbort);
  }

  /** Loses what the reader has not taken of a body that has ended. */
  function giveUpRest(detail: string): void {
    if (!isOver) {
      lostDetail = detail;
      endOver();
      reader?.onLost(detail);
    }
  }

  function abandon(reason: string): void {
    if (hasEnded) {
      giveUpRest(reason);
    } else {
      body.abandon(reason);
    }
  }

  function onAbort(): void {
    if (hasEnded) {
      giveUpRest('given up');
    }
  }

  function noteKept(bytes: number): void {
    keptBytes = bytes;
    countHeld();
  }

  function countHeld(): void {
    if (holdings === undefined || isOver) {
      return;
    }
    const receivedBytes = body.receivedBytes?.() ?? 0;
    if (keptBytes === 0 && stopWaiting === undefined) {
      receivedBefore = receivedBytes;
    }
    const inputBytes = Math.min(maxInputBytes, receivedBytes - receivedBefore);
    holding ??= holdings.open(() => abandon('no memory to keep it'));
    holding.set(keptBytes + inputBytes);
  }

  function waitForTurn(): void {
    body.pause();
    stopWaiting ??= turns.wait(() => {
      stopWaiting = undefined;
      countHeld();
      resumeFlow();
    });
  }

  function resumeFlow(): void {
    if (!isReaderBehind && stopWaiting === undefined && !hasEnded && !isOver) {
      body.resume();
    }
  }

  function resume(): void {
    isReaderBehind = false;
    deliver();
    resumeFlow();
  }

  const source: BodyReader = {
    onData(chunk) {
      const isFirstOfRead = batch.length() === 0;
      batch.append(chunk);
      if (isFirstOfRead) {
        // Runs once the parser has returned.
        queueMicrotask(deliver);
      }
      if (!turns.take(chunk) && isFirstOfRead) {
        waitForTurn();
      }
    },
    onEnd() {
      stopWaiting?.();
      hasEnded = true;
      deliver();
    },
    onLost(detail) {
      stopWaiting?.();
      deliver();
      giveUpRest(detail);
    },
  };

  signal?.addEventListener('abort', onAbort);
  return {
    ...body,
    abandon,
    noteKept,
    read(nextReader) {
      const isFirst = reader === undefined;
      reader = nextReader;
      if (lostDetail !== undefined) {
        // It was lost between two readers.
        reader.onLost(lostDetail);
      } else if (isFirst) {
        body.read(source);
      } else {
        resume();
      }
    },
    pause() {
      isReaderBehind = true;
      body.pause();
    },
    resume,
  };
}
