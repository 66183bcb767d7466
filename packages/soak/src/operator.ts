/** Carries out a script's operations, and notes what each disturbs for how long. */
import { delay, monotonicNowMs } from '@bluebellhitch/shared';
import type { StandinStore } from '@bluebellhitch/platform-standins';
import type { BackendServers } from './backendServers';
import type { Callers } from './callers';
import type { ConfigurationPlan } from './configurationPlan';
import type { Disruptions, Subject } from './disruptions';
import { promises, type Findings } from './findings';
import type { LimitChecks } from './limitChecks';
import type { RouterProcessHandle } from './routerFleet';
import type { Operation } from './script';
import type { StoreCopies } from './storeCopies';
import type { WordChecks } from './wordChecks';

export interface OperatorOptions {
  store: StandinStore;
  servers: BackendServers;
  routers: readonly RouterProcessHandle[];
  callers: Callers;
  plan: ConfigurationPlan;
  disruptions: Disruptions;
  findings: Findings;
  limits: LimitChecks;
  words: Pick<WordChecks, 'rests'>;
  copies: StoreCopies;
  /** From the signal to stop until the process must have ended. */
  graceMs: number;
  marginMs: number;
}

export interface Operator {
  /** Resolves when the operation is over, with all that it changed set back. */
  carryOut(operation: Operation): Promise<void>;
}

/**
 * Until the runtime has loaded a program's first module, any signal ends the process, whatever the program does:
 * 0.1 s on a calm machine, more than 0.8 s on a busy one. A program that takes longer than this has a fault.
 */
const signalsTakenMs = 5_000;
const signalPollMs = 20;

type OperationOf<Kind extends Operation['kind']> = Extract<Operation, { kind: Kind }>;
type LinkOperation = Pick<OperationOf<'store-link'>, 'link' | 'forMs'>;
/** Several operations on one thing: each takes its turn, so that none undoes another's half. */
type Turns = Map<string, Promise<void>>;

export function createOperator(options: OperatorOptions): Operator {
  const { store, servers, routers, callers, plan, disruptions, findings } = options;
  const turns: Turns = new Map();
  const routerAt = (index: number) => routers[index] as RouterProcessHandle;
  const subjectOf = ({ name }: RouterProcessHandle): Subject => ({ kind: 'router', name });
  const serverAt = (place: number): Subject => ({ kind: 'server', id: servers.serverId(place) });

  function inTurn(key: string, run: () => Promise<void>): Promise<void> {
    const turn = (turns.get(key) ?? Promise.resolve()).then(run);
    turns.set(key, turn);
    return turn;
  }

  /** Disturbs the subject for a time. */
  async function disturb(
    subject: Subject,
    cause: string,
    forMs: number,
    { begin, end }: { begin: () => void; end: () => void },
  ): Promise<void> {
    const ended = disruptions.begin(subject, cause);
    begin();
    await delay(forMs);
    end();
    ended();
  }

  async function killRouter(router: RouterProcessHandle, downMs: number): Promise<void> {
    const ended = disruptions.begin(subjectOf(router), 'killed');
    await router.kill();
    await delay(downMs);
    router.start();
    ended();
  }

  async function stopRouter(router: RouterProcessHandle, downMs: number): Promise<void> {
    const ended = disruptions.begin(subjectOf(router), 'stopped', { isPlanned: true });
    // A process that has not begun to serve has nothing to finish: the signal may end it as it is.
    const hasServed = router.wasReady();
    const stopped = await router.stop();
    if (stopped !== undefined && hasServed) {
      const { exitCode, tookMs } = stopped;
      if (exitCode !== 0 || tookMs > options.graceMs + options.marginMs) {
        const detail = `${router.name} stopped with ${exitCode} after ${Math.round(tookMs)} ms`;
        findings.add(promises.leaving, detail);
      }
    }
    await delay(downMs);
    router.start();
    ended();
  }

  function freezeRouter(router: RouterProcessHandle, forMs: number): Promise<void> {
    return disturb(subjectOf(router), 'frozen', forMs, { begin: router.freeze, end: router.thaw });
  }

  /** Signals to one process follow each other; what strikes its links goes on meanwhile. */
  function signalRouter(index: number, run: (router: RouterProcessHandle) => Promise<void>) {
    return inTurn(`router ${index}`, () => run(routerAt(index)));
  }

  async function reloadRouter(router: RouterProcessHandle): Promise<void> {
    const startedAtMs = monotonicNowMs();
    while (!router.takesReloads() && monotonicNowMs() - startedAtMs < signalsTakenMs) {
      await delay(signalPollMs);
    }
    const ended = disruptions.begin(subjectOf(router), 'reloaded', { isPlanned: true });
    router.reload();
    ended();
  }

  async function resetLinks(subject: Subject, reset: () => void): Promise<void> {
    const ended = disruptions.begin(subject, 'connections reset');
    reset();
    ended();
  }

  function linkStore(router: RouterProcessHandle, { link, forMs }: LinkOperation): Promise<void> {
    return inTurn(`store link ${router.name}`, () =>
      disturb(subjectOf(router), `store link ${link.kind}`, forMs, {
        begin: () => router.storeLink.setFault(link),
        end: () => router.storeLink.setFault({ kind: 'none' }),
      }),
    );
  }

  function failStore({ fault, forMs }: OperationOf<'store-fault'>): Promise<void> {
    return inTurn('store', () =>
      disturb({ kind: 'store' }, `store ${fault.kind}`, forMs, {
        begin: () => store.setFault(fault),
        end: () => store.setFault({ kind: 'none' }),
      }),
    );
  }

  function linkServer({ server, link, forMs }: OperationOf<'server-link'>): Promise<void> {
    return inTurn(`server ${server}`, () =>
      disturb(serverAt(server), link.kind, forMs, {
        begin: () => servers.setLink(server, link),
        end: () => servers.setLink(server, { kind: 'none' }),
      }),
    );
  }

  function failServer(operation: OperationOf<'server-errors'>): Promise<void> {
    const { server, run, forMs } = operation;
    return disturb(serverAt(server), run.kind, forMs, {
      begin: () => servers.setErrors(server, operation),
      end: () => servers.setErrors(server, undefined),
    });
  }

  async function restoreStore(operation: OperationOf<'restore-store'>): Promise<void> {
    const { ageMs, awayMs, againMs } = operation;
    const ended = disruptions.begin({ kind: 'store' }, 'store back from a copy');
    store.setFault({ kind: 'reset' });
    await delay(awayMs);
    store.restore(options.copies.atAge(awayMs + ageMs));
    store.setFault({ kind: 'none' });
    await delay(againMs);
    plan.writeAgain();
    await servers.listAgain();
    ended();
  }

  /** A server that is replaced meanwhile takes its limit with it. */
  async function limitServer(operation: OperationOf<'limit-server'>): Promise<void> {
    const { server, requestsPerSecond, forMs } = operation;
    const id = servers.serverId(server);
    servers.nameLimit(server, requestsPerSecond);
    const ended = options.limits.begin(id, requestsPerSecond);
    await delay(forMs);
    if (servers.serverId(server) === id) {
      servers.nameLimit(server, undefined);
    }
    ended();
  }

  /** A server that is replaced meanwhile takes its word with it. */
  async function restServer(operation: OperationOf<'rest-server'>): Promise<void> {
    const { server, restMs, forMs } = operation;
    const id = servers.serverId(server);
    servers.askForRest(server, restMs);
    const ended = options.words.rests(id, restMs);
    await delay(forMs);
    if (servers.serverId(server) === id) {
      servers.askForRest(server, undefined);
    }
    ended();
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
      'reload-router': ({ router }) => signalRouter(router, reloadRouter),
      'store-link': (operation) => linkStore(routerAt(operation.router), operation),
      'store-reset': ({ router }) =>
        resetLinks(subjectOf(routerAt(router)), routerAt(router).storeLink.resetAll),
      'store-fault': failStore,
      'restore-store': (operation) => inTurn('store', () => restoreStore(operation)),
      'forget-history': () => resetLinks({ kind: 'store' }, store.compact),
      'crash-server': ({ server, downMs }) =>
        inTurn(`server ${server}`, () => servers.crash(server, downMs)),
      'replace-server': ({ server }) =>
        inTurn(`server ${server}`, () => servers.replace(server, 0)),
      'leave-unlisted': ({ server, unlistedMs }) =>
        inTurn(`server ${server}`, () => servers.replace(server, unlistedMs)),
      'rest-server': (operation) => inTurn(`rest ${operation.server}`, () => restServer(operation)),
      'server-link': linkServer,
      'server-reset': ({ server }) =>
        resetLinks(serverAt(server), () => servers.resetLinks(server)),
      'server-errors': failServer,
      'limit-server': (operation) =>
        inTurn(`limit ${operation.server}`, () => limitServer(operation)),
      'change-configuration': ({ change }) => Promise.resolve(plan.change(change)),
      burst: raiseLoad,
    };

  return {
    carryOut(operation) {
      const handler = handlers[operation.kind] as (one: Operation) => Promise<void>;
      return handler(operation);
    },
  };
}
