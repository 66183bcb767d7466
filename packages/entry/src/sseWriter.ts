/** Writes server-sent events to a caller, waiting while the connection is full. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

export interface SseWriter {
  /** Resolves when the connection can take more, or is gone. */
  data(value: object): Promise<void>;
  event(name: string, value: object): Promise<void>;
  /** Ends a whole answer with `data: [DONE]`. */
  done(): void;
  /** Ends without the end marker. */
  end(): void;
}

/** Sends the response's head at once. */
export function createSseWriter(
  outgoing: ServerResponse,
  headers: Record<string, string> = {},
): SseWriter {
  outgoing.writeHead(200, {
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-cache',
    ...headers,
  });

  async function write(text: string): Promise<void> {
    if (outgoing.destroyed || outgoing.write(text)) {
      return;
    }
    const settled = new AbortController();
    const options = { signal: settled.signal };
    await Promise.race([once(outgoing, 'drain', options), once(outgoing, 'close', options)]).catch(
      () => undefined,
    );
    settled.abort();
  }

  return {
    data: (value) => write(`data: ${JSON.stringify(value)}\n\n`),
    event: (name, value) => write(`event: ${name}\ndata: ${JSON.stringify(value)}\n\n`),
    done() {
      outgoing.end('data: [DONE]\n\n');
    },
    end() {
      outgoing.end();
    },
  };
}
