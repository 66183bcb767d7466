/** Acceptors over the stand-in platform, with leases that the test grants and revokes. */
import FakeTimers from '@sinonjs/fake-timers';
import {
  acceptedDocumentSchema,
  parseDocument,
  type AcceptedDocument,
} from '@bluebellhitch/document';
import { objectKinds, type StoredObject } from '@bluebellhitch/objects';
import { createSeededRandom } from '@bluebellhitch/shared';
import {
  createStandinPlatform,
  type StandinPlatform,
  type StandinPlatformOptions,
} from '@bluebellhitch/standins';
import { createAcceptor } from '../../src/acceptor';
import { serviceStatusSchema, type ServiceStatus } from '../../src/serviceStatus';
import { settle as settleCall } from './settle';

export interface TestLease {
  fencingNumber: number | undefined;
}

export interface RunningAcceptor {
  lease: TestLease;
  stop(): void;
}

export type AcceptorFixture = ReturnType<typeof createAcceptorFixture>;

export function createAcceptorFixture(options: StandinPlatformOptions = {}) {
  const clock = FakeTimers.install({ shouldClearNativeTimers: true });
  const platform = createStandinPlatform({
    latencyMs: 4,
    random: createSeededRandom(7),
    ...options,
  });
  const acceptors: RunningAcceptor[] = [];

  function startAcceptor(fencingNumber?: number): RunningAcceptor {
    const lease: TestLease = { fencingNumber };
    const stopping = new AbortController();
    const acceptor = createAcceptor({
      platform,
      lease: {
        heldFencing: () =>
          lease.fencingNumber === undefined
            ? undefined
            : { fencingNumber: lease.fencingNumber, validForMs: 1000, isFirst: false },
      },
      validate: parseDocument,
    });
    void acceptor.run(stopping.signal);
    const running = { lease, stop: () => stopping.abort() };
    acceptors.push(running);
    return running;
  }

  /** Creates or overwrites the document, as an operator does. */
  async function edit(service: string, text: string): Promise<number> {
    const current = await settle(platform.get(objectKinds.document, service));
    const value = { text, format: 'yaml' };
    const written = await settle(
      current.isOk()
        ? platform.update(objectKinds.document, service, current.value.version, value)
        : platform.create(objectKinds.document, service, value),
    );
    return written._unsafeUnwrap().version;
  }

  async function removeDocument(service: string): Promise<void> {
    const current = await settle(platform.get(objectKinds.document, service));
    if (current.isOk()) {
      await settle(platform.remove(objectKinds.document, service, current.value.version));
    }
  }

  async function accepted(service: string): Promise<AcceptedDocument | undefined> {
    const found = await settle(platform.get(objectKinds.accepted, service));
    return found.isOk() ? acceptedDocumentSchema.parse(found.value.value) : undefined;
  }

  async function status(service: string): Promise<ServiceStatus | undefined> {
    const found = await settle(platform.get(objectKinds.status, service));
    return found.isOk() ? serviceStatusSchema.parse(found.value.value) : undefined;
  }

  function settle<Value>(call: PromiseLike<Value>): Promise<Value> {
    return settleCall(clock, call);
  }

  async function close(): Promise<void> {
    acceptors.forEach((acceptor) => acceptor.stop());
    platform.control.clearFaults();
    await clock.tickAsync(20_000);
    clock.uninstall();
  }

  return { clock, platform, startAcceptor, edit, removeDocument, accepted, status, settle, close };
}

export function plainDocument(service: string, host: string, timeoutMs = 30_000): string {
  return [
    'apiVersion: bluebellhitch/v1',
    `service: ${service}`,
    'institution: halloran-voss',
    'kind: plain',
    'dataCentres: [tacoma-hall]',
    `limits: { requestTimeoutMs: ${timeoutMs} }`,
    'drain: { boundMs: 60000 }',
    'routes:',
    `  - host: ${host}`,
  ].join('\n');
}

/** Records every value of the `accepted` objects. */
export function createAcceptedHistory(platform: StandinPlatform) {
  const history: StoredObject[] = [];
  let cursor = '0';
  return {
    history,
    /** Adds the values since the last call; repeats the call if the platform's faults make it fail. */
    async collect(): Promise<void> {
      const reply = await platform.watch(objectKinds.accepted, cursor, 0);
      if (reply.isErr()) {
        await this.collect();
        return;
      }
      cursor = reply.value.cursor;
      const puts = reply.value.events.flatMap((event) =>
        event.kind === 'put' ? [event.object] : [],
      );
      history.push(...puts);
    },
  };
}
