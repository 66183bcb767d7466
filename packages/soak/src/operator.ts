/** Executes a script's operations and records what each disturbs and for how long. */
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { StandinStore } from '@bluebellhitch/platform-standins';
import type { BackendServers } from './backendServers';
import type { Callers } from './callers';
import type { ConfigurationPlan } from './configurationPlan';
import type { Disruptions, DisruptionSubject } from './disruptions';
import { promises, type Findings } from './findings';
import type { LimitChecks } from './limitChecks';
import type { RouterProcessHandle } from './routerFleet';
import type { Operation } from './script';
import type { StoreBackups } from './storeBackups';
import type { NoticeChecks } from './noticeChecks';

export interface OperatorOptions {
  store: StandinStore;
  servers: BackendServers;
  routers: readonly RouterProcessHandle[];
  callers: Callers;
  plan: ConfigurationPlan;
  disruptions: Disruptions;
  findings: Findings;
  limits: LimitChecks;
  notices: Pick<NoticeChecks, 'beginBackoff'>;
  backups: StoreBackups;
  /** Time from the stop signal until the process must have ended. */
  graceMs: number;
  marginMs: number;
}

export interface Operator {
  /** Resolves when the operation has finished and its effects are reverted. */
  execute(operation: Operation): Promise<void>;
}

/**
 * Until Node.js has loaded a program's first module, any signal ends the process, regardless of its handlers. That
 * takes 0.1 s on an idle machine and more than 0.8 s on a busy one; a program that takes longer than this is faulty.
 */
const reloadHandlerTimeoutMs = 5_000;
const signalPollMs = 20;

type OperationOf<Kind extends Operation['kind']> = Extract<Operation, { kind: Kind }>;
type LinkOperation = Pick<OperationOf<'store-link'>, 'link' | 'forMs'>;
/**
 * By target, the last queued operation. Operations on one target run in order, so that none reverts another halfway.
 */
type PendingOperations = Map<string, Promise<void>>;

export function createOperator(options: OperatorOptions): Operator {
  const { store, servers, routers, callers, plan, disruptions, findings } = options;
  const pending: PendingOperations = new Map();
  const routerAt = (index: number) => routers[index] as RouterProcessHandle;
  const routerSubject = ({ name }: RouterProcessHandle): DisruptionSubject => ({
    kind: 'router',
    name,
  });
  const serverSubject = (slot: number): DisruptionSubject => ({
    kind: 'server',
    id: servers.serverId(slot),
  });

  function runInOrder(key: string, run: () => Promise<void>): Promise<void> {
    const done = (pending.get(key) ?? Promise.resolve()).then(run);
    pending.set(key, done);
    return done;
  }

  /** Disturbs the subject for `forMs`. */
  async function disturb(
    subject: DisruptionSubject,
    cause: string,
    forMs: number,
    { begin, end }: { begin: () => void; end: () => void },
  ): Promise<void> {
    const endDisruption = disruptions.begin(subject, cause);
    begin();
    await delay(forMs);
    end();
    endDisruption();
  }

  async function killRouter(router: RouterProcessHandle, downMs: number): Promise<void> {
    const endDisruption = disruptions.begin(routerSubject(router), 'killed');
    await router.kill();
    await delay(downMs);
    router.start();
    endDisruption();
  }

  async function stopRouter(router: RouterProcessHandle, downMs: number): Promise<void> {
    const endDisruption = disruptions.begin(routerSubject(router), 'stopped', { isPlanned: true });
    // A process that has not begun to serve has no requests to finish; the signal may end it at once.
    const hasServed = router.wasReady();
    const stopped = await router.stopGracefully();
    if (stopped !== undefined && hasServed) {
      const { exitCode, tookMs } = stopped;
      if (exitCode !== 0 || tookMs > options.graceMs + options.marginMs) {
        const detail = `${router.name} stopped with ${exitCode} after ${Math.round(tookMs)} ms`;
        findings.add(promises.leaving, detail);
      }
    }
    await delay(downMs);
    router.start();
    endDisruption();
  }

  function freezeRouter(router: RouterProcessHandle, forMs: number): Promise<void> {
    return disturb(routerSubject(router), 'frozen', forMs, {
      begin: router.freeze,
      end: router.resume,
    });
  }

  async function starveRouter(
    router: RouterProcessHandle,
    operation: OperationOf<'starve-router'>,
  ): Promise<void> {
    const endDisruption = disruptions.begin(routerSubject(router), 'starved');
    const endStarving = router.starve(operation);
    await delay(operation.forMs);
    await endStarving();
    endDisruption();
  }

  /** Signals to one process are sent in order; faults of its links can overlap with them. */
  function signalRouter(index: number, run: (router: RouterProcessHandle) => Promise<void>) {
    return runInOrder(`router ${index}`, () => run(routerAt(index)));
  }

  async function reloadRouter(router: RouterProcessHandle): Promise<void> {
    const startedAtMs = monotonicNowMs();
    while (!router.handlesReload() && monotonicNowMs() - startedAtMs < reloadHandlerTimeoutMs) {
      await delay(signalPollMs);
    }
    const endDisruption = disruptions.begin(routerSubject(router), 'reloaded', { isPlanned: true });
    router.reload();
    endDisruption();
  }

  async function resetLinks(subject: DisruptionSubject, reset: () => void): Promise<void> {
    const endDisruption = disruptions.begin(subject, 'connections reset');
    reset();
    endDisruption();
  }

  function disturbStoreLink(
    router: RouterProcessHandle,
    { link, forMs }: LinkOperation,
  ): Promise<void> {
    return runInOrder(`store link ${router.name}`, () =>
      disturb(routerSubject(router), `store link ${link.kind}`, forMs, {
        begin: () => router.storeLink.setFault(link),
        end: () => router.storeLink.setFault({ kind: 'none' }),
      }),
    );
  }

  function failStore({ fault, forMs }: OperationOf<'store-fault'>): Promise<void> {
    return runInOrder('store', () =>
      disturb({ kind: 'store' }, `store ${fault.kind}`, forMs, {
        begin: () => store.setFault(fault),
        end: () => store.setFault({ kind: 'none' }),
      }),
    );
  }

  function disturbServerLink({ server, link, forMs }: OperationOf<'server-link'>): Promise<void> {
    return runInOrder(`server ${server}`, () =>
      disturb(serverSubject(server), link.kind, forMs, {
        begin: () => servers.setLink(server, link),
        end: () => servers.setLink(server, { kind: 'none' }),
      }),
    );
  }

  function failServer(operation: OperationOf<'server-errors'>): Promise<void> {
    const { server, run, forMs } = operation;
    return disturb(serverSubject(server), run.kind, forMs, {
      begin: () => servers.setErrors(server, operation),
      end: () => servers.setErrors(server, undefined),
    });
  }

  function rejectPrefills(operation: OperationOf<'reject-prefills'>): Promise<void> {
    const { server, share, forMs } = operation;
    return disturb(serverSubject(server), 'prefills rejected', forMs, {
      begin: () => servers.setRejectedPrefillShare(server, share),
      end: () => servers.setRejectedPrefillShare(server, 0),
    });
  }

  /** A slow server still answers within the time-outs, so callers must not notice more than a delay. */
  async function slowServer({ server, factor, forMs }: OperationOf<'slow-server'>): Promise<void> {
    servers.setSlowdown(server, factor);
    await delay(forMs);
    servers.setSlowdown(server, 1);
  }

  /** No disruption: the server is sound, and goes on with everything. */
  async function silenceServer({ server, forMs }: OperationOf<'silence-server'>): Promise<void> {
    const goOn = servers.fallSilent(server);
    await delay(forMs);
    goOn();
  }

  async function restoreStore(operation: OperationOf<'restore-store'>): Promise<void> {
    const { ageMs, awayMs, againMs } = operation;
    const endDisruption = disruptions.begin({ kind: 'store' }, 'store back from a copy');
    store.setFault({ kind: 'reset' });
    await delay(awayMs);
    store.restore(options.backups.atAge(awayMs + ageMs));
    store.setFault({ kind: 'none' });
    await delay(againMs);
    plan.rewrite();
    await servers.republishEntries();
    endDisruption();
  }

  /** If the server is replaced in the meantime, its limit ends with it. */
  async function limitServer(operation: OperationOf<'limit-server'>): Promise<void> {
    const { server, requestsPerSecond, forMs } = operation;
    const id = servers.serverId(server);
    servers.setLimitNotice(server, requestsPerSecond);
    const endLimit = options.limits.begin(id, requestsPerSecond);
    await delay(forMs);
    if (servers.serverId(server) === id) {
      servers.setLimitNotice(server, undefined);
    }
    endLimit();
  }

  /** If the server is replaced in the meantime, its backoff notice ends with it. */
  async function requestServerBackoff(operation: OperationOf<'rest-server'>): Promise<void> {
    const { server, restMs, forMs } = operation;
    const id = servers.serverId(server);
    servers.setBackoffNotice(server, restMs);
    const endBackoff = options.notices.beginBackoff(id, restMs);
    await delay(forMs);
    if (servers.serverId(server) === id) {
      servers.setBackoffNotice(server, undefined);
    }
    endBackoff();
  }

  /** Starts the replacements one after the other; each of them waits for other operations on its server. */
  async function releaseVersion(operation: OperationOf<'release'>): Promise<void> {
    const { softwareVersion, gapMs } = operation;
    const replacements: Promise<void>[] = [];
    for (const server of servers.engineSlots()) {
      servers.setVersion(server, softwareVersion);
      replacements.push(runInOrder(`server ${server}`, () => servers.replace(server, 0)));
      await delay(gapMs);
    }
    await Promise.all(replacements);
  }

  async function raiseLoad({ factor, forMs }: OperationOf<'burst'>): Promise<void> {
    callers.setFactor(factor);
    await delay(forMs);
    callers.setFactor(1);
  }

  const handlers: { [Kind in Operation['kind']]: (operation: OperationOf<Kind>) => Promise<void> } =
    {
      'kill-router': ({ router, downMs }) =>
        signalRouter(router, (process) => killRouter(process, downMs)),
      'stop-router': ({ router, downMs }) =>
        signalRouter(router, (process) => stopRouter(process, downMs)),
      'freeze-router': ({ router, forMs }) =>
        signalRouter(router, (process) => freezeRouter(process, forMs)),
      'starve-router': (operation) =>
        signalRouter(operation.router, (process) => starveRouter(process, operation)),
      'reload-router': ({ router }) => signalRouter(router, reloadRouter),
      'store-link': (operation) => disturbStoreLink(routerAt(operation.router), operation),
      'store-reset': ({ router }) =>
        resetLinks(routerSubject(routerAt(router)), routerAt(router).storeLink.resetAll),
      'store-fault': failStore,
      'restore-store': (operation) => runInOrder('store', () => restoreStore(operation)),
      'forget-history': () => resetLinks({ kind: 'store' }, store.compact),
      'crash-server': ({ server, downMs }) =>
        runInOrder(`server ${server}`, () => servers.crash(server, downMs)),
      'replace-server': ({ server }) =>
        runInOrder(`server ${server}`, () => servers.replace(server, 0)),
      release: (operation) => runInOrder('release', () => releaseVersion(operation)),
      'leave-unlisted': ({ server, unlistedMs }) =>
        runInOrder(`server ${server}`, () => servers.replace(server, unlistedMs)),
      'leave-late': ({ server, ...leaving }) =>
        runInOrder(`server ${server}`, () => servers.leave(server, leaving)),
      'expire-entry': ({ server, awayMs }) =>
        runInOrder(`server ${server}`, () => servers.expireEntry(server, awayMs)),
      'rest-server': (operation) =>
        runInOrder(`rest ${operation.server}`, () => requestServerBackoff(operation)),
      'server-link': disturbServerLink,
      'server-reset': ({ server }) =>
        resetLinks(serverSubject(server), () => servers.resetLinks(server)),
      'server-errors': failServer,
      'reject-prefills': rejectPrefills,
      'slow-server': (operation) =>
        runInOrder(`slow ${operation.server}`, () => slowServer(operation)),
      'silence-server': silenceServer,
      'limit-server': (operation) =>
        runInOrder(`limit ${operation.server}`, () => limitServer(operation)),
      'change-configuration': ({ change }) => Promise.resolve(plan.change(change)),
      burst: raiseLoad,
    };

  return {
    execute(operation) {
      const handler = handlers[operation.kind] as (one: Operation) => Promise<void>;
      return handler(operation);
    },
  };
}
