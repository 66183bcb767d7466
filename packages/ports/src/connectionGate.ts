/**
 * Decides how much of what a connection has received goes to the HTTP parser. The runtime hands over all of a read at once,
 * which can hold thousands of requests, and it stops reading only for answers that are not sent. Here input is handed over
 * in pieces with a few requests at most, and it waits while the connection has enough requests in progress. What
 * waits is one read of the socket at most: the kernel holds the rest, and the caller's writes come to a halt.
 */
import type { Socket } from 'node:net';
import type { ReadTurns } from './readTurns';

export interface ConnectionGate {
  /** Goes on if input may be handed over again. */
  update(): void;
  /** From now on all input is dropped unread, as fast as there are turns for that; the end of the connection is still noticed. */
  discard(): void;
}

export interface ConnectionGateOptions {
  turns: ReadTurns;
  /** Whether the connection may go on to a further request. */
  mayRead: () => boolean;
  /** Whether the last request is not complete. */
  isInBody: () => boolean;
  /** Called for each piece before the parser gets it, with its size. */
  onPiece: (bytes: number) => void;
  /** Called with each change of the size of the input that waits. */
  onWaitingChanged: (bytes: number) => void;
}

/** A part of the input; null is the end of the caller's sending side. */
type Input = Buffer | null;

/** A piece with less than the shortest requests would cost more time than they do; a body may consist of empty lines. */
const minPieceBytes = 64;
const minBodyBytes = 1_024;
const emptyLines = [Buffer.from('\n\r\n'), Buffer.from('\n\n')];

/* eslint-disable no-underscore-dangle -- the runtime's name of the method that a stream overrides to read on */

/** To be called once, after the HTTP server has taken the connection and before anything is read. */
export function guardInput(socket: Socket, options: ConnectionGateOptions): ConnectionGate {
  const { turns, mayRead, isInBody, onPiece, onWaitingChanged } = options;
  const handOver = socket.push.bind(socket) as (input: Input) => boolean;
  const readOn = socket._read.bind(socket);
  const waiting: Input[] = [];
  let waitingBytes = 0;
  let isDiscarding = false;
  let isHandingOver = false;
  let isWaitingForTurn = false;
  let stopWaitingToDrop: (() => void) | undefined;

  function isHeld(): boolean {
    const isReadable = waiting[0] === null || isDiscarding;
    return !isReadable && (isWaitingForTurn || socket.isPaused() || !mayRead());
  }

  function handOverWaiting(): void {
    isHandingOver = true;
    while (waiting.length > 0 && !isHeld()) {
      handOverNext(waiting.shift() ?? null);
    }
    isHandingOver = false;
    noteWaiting();
  }

  function noteWaiting(): void {
    const bytes = waiting.reduce((sum, input) => sum + (input?.length ?? 0), 0);
    const change = bytes - waitingBytes;
    waitingBytes = bytes;
    if (change !== 0) {
      onWaitingChanged(change);
    }
  }

  function handOverNext(input: Input): void {
    if (input === null) {
      handOver(null);
      return;
    }
    if (isDiscarding) {
      drop(input.length);
      return;
    }
    const piece = input.subarray(0, pieceLength(input, isInBody() ? minBodyBytes : minPieceBytes));
    if (!turns.take(piece.length)) {
      waiting.unshift(input);
      waitForTurn();
      return;
    }
    if (piece.length < input.length) {
      waiting.unshift(input.subarray(piece.length));
    }
    onPiece(piece.length);
    handOver(piece);
  }

  function drop(bytes: number): void {
    if (!turns.dropped.take(bytes) && stopWaitingToDrop === undefined) {
      stopWaitingToDrop = turns.dropped.wait(() => {
        stopWaitingToDrop = undefined;
        resume();
      });
    }
  }

  const mayReadOn = () => waiting.length === 0 && stopWaitingToDrop === undefined;

  function waitForTurn(): void {
    if (!isWaitingForTurn) {
      isWaitingForTurn = true;
      turns.wait(() => {
        isWaitingForTurn = false;
        resume();
      });
    }
  }

  function resume(): void {
    if (isHandingOver || socket.destroyed) {
      return;
    }
    handOverWaiting();
    if (mayReadOn()) {
      readOn(0);
    }
  }

  socket.push = (input: Input) => {
    waiting.push(input);
    if (!isHandingOver) {
      handOverWaiting();
    }
    return mayReadOn();
  };
  // The stream asks for more as soon as it has handed on a piece.
  socket._read = (size) => {
    if (mayReadOn()) {
      readOn(size);
    }
  };
  // With this listener the runtime hands input to `push`, and not to its parser directly.
  socket.on('data', () => undefined);
  socket.on('resume', () => waiting.length > 0 && waitForTurn());
  socket.once('close', () => stopWaitingToDrop?.());

  return {
    update() {
      if (waiting.length > 0) {
        // What others send gets its turn between two requests of this connection.
        waitForTurn();
      }
    },
    discard() {
      isDiscarding = true;
      if (!isHandingOver) {
        handOverWaiting();
      }
      waitForTurn();
    },
  };
}

/** The length up to the end of an empty line, where a head may end, and of `minBytes`; the whole length without one. */
function pieceLength(input: Buffer, minBytes: number): number {
  const ends = emptyLines
    .map((line) => ({ at: input.indexOf(line, minBytes - line.length), length: line.length }))
    .filter(({ at }) => at >= 0)
    .map(({ at, length }) => at + length);
  return Math.min(input.length, ...ends);
}
