/**
 * Closes the inner port so that each call that an entry has sent gets an answer. A connection that is closed under a call on
 * its way looks to the entry like one whose call may have run.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import {
  createCallerConnections,
  createConnectionClosing,
  onceResponseOver,
  type TakenRequest,
} from '@bluebellhitch/routing';
import { delay } from '@bluebellhitch/shared';

export interface PortClosing {
  /** To be called once, before the server has connections. */
  watch(server: Server): void;
  /** To be called for each call before anything else; undefined if its connection is closing: it must not be served. */
  take(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Pick<TakenRequest, 'announceClose'> | undefined;
  /** Closes the port; responses in progress and calls on their way have `graceMs`. */
  close(server: Server, graceMs: number): Promise<void>;
}

export function createPortClosing(): PortClosing {
  const connections = createCallerConnections();
  const closing = createConnectionClosing({ onLingered: notifyIfIdle });
  let activeCount = 0;
  let isClosing = false;
  let onIdle: () => void = () => undefined;

  const isIdle = () => activeCount === 0 && !closing.isLingering();

  function notifyIfIdle(): void {
    if (isIdle()) {
      onIdle();
    }
  }

  return {
    watch: closing.watch,
    take(incoming, outgoing) {
      const taken = closing.take(incoming, outgoing);
      if (taken === undefined) {
        return undefined;
      }
      activeCount += 1;
      onceResponseOver(outgoing, connections.of(incoming.socket), () => {
        activeCount -= 1;
        taken.noteOver();
        notifyIfIdle();
      });
      if (isClosing) {
        taken.announceClose();
      }
      return taken;
    },
    async close(server, graceMs) {
      isClosing = true;
      const closed = new Promise<void>((resolve) => {
        server.once('close', () => resolve());
      });
      const idle = new Promise<void>((resolve) => {
        onIdle = resolve;
      });
      closing.closePort(server);
      notifyIfIdle();
      await Promise.race([idle, delay(graceMs)]);
      server.closeAllConnections();
      await closed;
    },
  };
}
