/** Writes server-sent events to a caller with backpressure. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';

export interface SseWriter {
  /** Resolves when the connection accepts more data or is closed. */
  data(value: object): Promise<void>;
  event(name: string, value: object): Promise<void>;
  /** Ends a complete response with `data: [DONE]`. */
  done(): void;
  /** Ends the response without the end marker. */
  end(): void;
}

/** Creates the writer and sends the response head. */
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
