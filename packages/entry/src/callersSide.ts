/** The callers' side as a whole: server, completions and plain traffic, and how it ends. */
import { startCallersServer } from './callersServer';
import type { CallersTls } from './callersTls';
import { createCompletionsApi } from './completionsApi';
import { createModelRuns } from './modelRuns';
import { stopReasons } from './modelTypes';
import { createPlainApi } from './plainApi';
import type { RequestContext } from './requestContext';
import type { ServiceTable } from './serviceTable';

export interface CallersSideOptions {
  context: RequestContext;
  services: ServiceTable;
  host: string;
  /** 0 takes a free port. */
  port: number;
  /** Absent: plain HTTP. */
  tls?: CallersTls;
  maxHeaderBytes: number;
  maxBodyBytes: number;
  maxConnections: number;
  slowSenderTimeoutMs: number;
}

export interface CallersSide {
  /** `http://ip:port`, or `https` with TLS. */
  address: string;
  activeCount(): number;
  /** Refuses new requests, and finishes running ones within the bound; true where all ended. */
  drain(boundMs: number): Promise<boolean>;
  /** Ends everything at once. */
  close(): Promise<void>;
}

const forcedEndMs = 1_000;

/** Starts to serve callers. */
export async function createCallersSide(options: CallersSideOptions): Promise<CallersSide> {
  const { context, services, slowSenderTimeoutMs, maxBodyBytes, maxConnections } = options;
  const runs = createModelRuns(context);
  const plain = createPlainApi({ context, services, slowSenderTimeoutMs });
  const server = await startCallersServer({
    host: options.host,
    port: options.port,
    tls: options.tls,
    completions: createCompletionsApi({ services, runs, maxBodyBytes, slowSenderTimeoutMs }),
    plain,
    hasHost: services.hasHost,
    logger: context.logger,
    maxHeaderBytes: options.maxHeaderBytes,
    maxConnections,
    headersTimeoutMs: slowSenderTimeoutMs,
  });

  const settled = () => Promise.all([server.idle(), runs.settled()]);

  function stopAll(): void {
    runs.stopAll(stopReasons.shutdown);
    plain.stopAll(stopReasons.shutdown);
  }

  return {
    address: server.address,
    activeCount: server.activeCount,
    async drain(boundMs) {
      server.stopAccepting();
      const ended = await within(settled(), boundMs);
      if (!ended) {
        // Callers whose time is over still get an explicit end of their answer.
        stopAll();
        await within(settled(), forcedEndMs);
      }
      return ended;
    },
    async close() {
      stopAll();
      await within(runs.settled(), forcedEndMs);
      await server.close();
    },
  };
}

/** Whether the promise settled within the time. */
async function within(promise: Promise<unknown>, timeoutMs: number): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), timeoutMs);
  });
  return Promise.race([promise.then(() => true), timeout]).finally(() => clearTimeout(timer));
}
