/** The API for callers: HTTP server, completions, plain traffic and shutdown. */
import {
  createBodyReaderPool,
  createPortResources,
  type PortResources,
} from '@bluebellhitch/ports';
import { startCallersServer } from './callersServer';
import type { CallersTls } from './callersTls';
import { createCompletionsApi } from './completionsApi';
import { createModelRuns } from './modelRuns';
import { stopReasons } from './modelTypes';
import { createPlainApi } from './plainApi';
import type { RequestContext } from './requestContext';
import type { ServiceTable } from './serviceTable';

export interface CallersApiOptions {
  context: RequestContext;
  services: ServiceTable;
  host: string;
  /** 0 selects a free port. */
  port: number;
  /** Certificate and key; plain HTTP if omitted. */
  tls?: CallersTls;
  /** Shared with the other ports of the process. Default: of its own. */
  resources?: PortResources;
  maxHeaderBytes: number;
  maxBodyBytes: number;
  maxConnections: number;
  slowSenderTimeoutMs: number;
}

export interface CallersApi {
  /** `http://ip:port`, or `https` with TLS. */
  address: string;
  activeCount(): number;
  /** Refuses new requests and lets running ones finish; false if some were still running after `timeoutMs`. */
  drain(timeoutMs: number): Promise<boolean>;
  /** Ends all requests and closes the server at once. */
  close(): Promise<void>;
}

const forcedStopTimeoutMs = 1_000;

/** Starts the server; rejects if the port is in use. */
export async function createCallersApi(options: CallersApiOptions): Promise<CallersApi> {
  const { context, services, slowSenderTimeoutMs, maxBodyBytes, maxConnections } = options;
  const runs = createModelRuns(context);
  const { resources = createPortResources() } = options;
  const bodies = createBodyReaderPool(resources.memory);
  const plain = createPlainApi({ context, services, bodies, slowSenderTimeoutMs });
  const server = await startCallersServer({
    host: options.host,
    port: options.port,
    tls: options.tls,
    completions: createCompletionsApi({
      services,
      runs,
      bodies,
      maxBodyBytes,
      slowSenderTimeoutMs,
    }),
    plain,
    hasPlainHost: services.hasPlainHost,
    resources,
    logger: context.logger,
    maxHeaderBytes: options.maxHeaderBytes,
    maxConnections,
    headersTimeoutMs: slowSenderTimeoutMs,
  });

  const settled = () => Promise.all([server.whenIdle(), runs.settled()]);

  function stopAll(): void {
    runs.stopAll(stopReasons.shutdown);
    plain.stopAll(stopReasons.shutdown);
  }

  return {
    address: server.address,
    activeCount: server.activeCount,
    async drain(timeoutMs) {
      server.stopAccepting();
      const ended = await settlesWithin(settled(), timeoutMs);
      if (!ended) {
        // Responses that did not finish in time still end with an explicit error.
        stopAll();
        await settlesWithin(settled(), forcedStopTimeoutMs);
      }
      return ended;
    },
    async close() {
      stopAll();
      await settlesWithin(runs.settled(), forcedStopTimeoutMs);
      await server.close();
    },
  };
}

/** Resolves with whether the promise was fulfilled within `timeoutMs`. */
async function settlesWithin(promise: Promise<unknown>, timeoutMs: number): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), timeoutMs);
  });
  return Promise.race([promise.then(() => true), timeout]).finally(() => clearTimeout(timer));
}
