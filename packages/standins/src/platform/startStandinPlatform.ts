/** Serves the stand-in platform over HTTP. */
import type { AddressInfo } from 'node:net';
import type { Server } from 'node:http';
import { serve } from '@hono/node-server';
import { createStandinPlatformApp } from './platformApp';
import { createStandinPlatform, type StandinPlatformOptions } from './standinPlatform';

export interface StartStandinPlatformOptions extends StandinPlatformOptions {
  host?: string;
  /** 0 picks a free port. */
  port?: number;
}

export type RunningStandinPlatform = Awaited<ReturnType<typeof startStandinPlatform>>;

export async function startStandinPlatform(options: StartStandinPlatformOptions = {}) {
  const { host = '127.0.0.1', port = 0 } = options;
  const platform = createStandinPlatform(options);
  const stop = new AbortController();
  const app = createStandinPlatformApp(platform, stop.signal);
  const { server, info } = await listen(app.fetch, host, port);

  function close(): Promise<void> {
    stop.abort();
    return new Promise((resolve) => {
      server.close(() => resolve());
      server.closeIdleConnections();
      // A caller that keeps its connection busy must not delay the exit.
      setTimeout(() => server.closeAllConnections(), closeGraceMs).unref();
    });
  }

  return { platform, address: `http://${host}:${info.port}`, close };
}

const closeGraceMs = 200;

function listen(
  fetch: Parameters<typeof serve>[0]['fetch'],
  hostname: string,
  port: number,
): Promise<{ server: Server; info: AddressInfo }> {
  return new Promise((resolve, reject) => {
    const server = serve({ fetch, hostname, port }, (info) => resolve({ server, info })) as Server;
    server.once('error', reject);
  });
}
