/** Replays one load pattern with one seed in virtual time and returns the figures. */
import FakeTimers from '@sinonjs/fake-timers';
import { decodeSpeedMessage } from '@bluebellhitch/protocol';
import {
  routeKinds,
  stages,
  selectEngineUse,
  type CallerExchange,
  type Configuration,
} from '@bluebellhitch/routing';
import { assertNever, createSeededRandom, delay, type Random } from '@bluebellhitch/shared';
import { runCaller, type CallerResult } from './caller';
import { createEngineFleet } from './engineFleet';
import { createEngineModel, type EngineModel } from './engineModel';
import { mechanisms, type Mechanism } from './mechanisms';
import type { EngineShape, LoadPattern, LoadStep, RequestKind } from './pattern';
import { createReplayRouter, type ReplayRouter } from './replayRouter';
import { summarize, type ReplayFigures } from './replayFigures';
import { drawSize, type RequestSize } from './requestSizes';

export interface ReplayOptions {
  pattern: LoadPattern;
  seed: number;
  /** Mechanisms to leave out. */
  absent?: readonly Mechanism[];
}

const serviceName = 'replay';
const msPerSecond = 1000;
/** Time after the last request, in which responses in progress end. */
const settleMs = 20_000;
/** Changes within this time are announced in one datagram. */
const coalesceMs = 4;
const reservationLimitMs = 2_000;
/**
 * Each kind has a random generator of its own, so that its requests stay the same when another kind changes. Seeds of
 * different replays do not overlap with at most this many kinds.
 */
const seedsPerReplay = 64;
const fakedNames = ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance'];

export async function runReplay(options: ReplayOptions): Promise<ReplayFigures> {
  const clock = FakeTimers.install({ toFake: fakedNames as FakeTimers.FakeMethod[] });
  try {
    const simulation = createSimulation(options);
    await clock.tickAsync(options.pattern.seconds * msPerSecond + settleMs);
    await simulation.stop();
    return summarize(simulation.ends, simulation.engines(), simulation.reservations);
  } finally {
    clock.uninstall();
  }
}

function createSimulation({ pattern, seed, absent = [] }: ReplayOptions) {
  const random = createSeededRandom(seed);
  const absentMechanisms = new Set(absent);
  const ends: CallerResult[] = [];
  const sizes = new Map<string, RequestSize>();
  const engines = createEngines(pattern, absentMechanisms, replaceServer);
  const { backend, reservations } = createEngineFleet({
    engines,
    outputTokensOf: (requestId) => sizes.get(requestId)?.outputTokens ?? 1,
    tokensPerEvent: pattern.engines.tokensPerEvent,
  });
  const configuration = createConfiguration(pattern, absentMechanisms);
  let routers = startRouters();
  let requestNumber = 0;
  pattern.kinds.forEach((kind, index) => {
    void generateArrivals(kind, createSeededRandom(seed * seedsPerReplay + index));
  });
  pattern.steps.forEach((step) => {
    void applyStep(step);
  });

  function startRouters(): ReplayRouter[] {
    const addresses = Array.from({ length: pattern.routers }, (_none, n) => `10.0.0.${n + 1}:1`);
    return addresses.map((address) =>
      createReplayRouter({
        address,
        configuration,
        servers: [...engines.values()].map((engine) => engine.server()),
        backend,
        addresses,
        onOwnUseChange: absentMechanisms.has(mechanisms.peerNews)
          ? () => undefined
          : createPeerNotifier(address),
        sendSpeeds: absentMechanisms.has(mechanisms.speedNews)
          ? () => Promise.resolve()
          : sendSpeeds,
        absent: absentMechanisms,
        random,
      }),
    );
  }

  function replaceServer(...versions: Parameters<ReplayRouter['replaceServer']>): void {
    routers.forEach((router) => router.replaceServer(...versions));
  }

  /** Announces changes of one router's engine use to its shard peers after a delay. */
  function createPeerNotifier(address: string): (serverId: string) => void {
    const changed = new Set<string>();
    return (serverId) => {
      if (changed.size === 0) {
        setTimeout(() => {
          deliver(address, [...changed]);
          changed.clear();
        }, coalesceMs);
      }
      changed.add(serverId);
    };
  }

  function deliver(address: string, serverIds: readonly string[]): void {
    const current = routers;
    const sender = current.find((router) => router.address === address);
    const announcedUse = structuredClone(selectEngineUse(sender?.loads.ownUse() ?? [], serverIds));
    setTimeout(() => {
      current
        .filter((router) => sender?.shardPeers().includes(router.address))
        .forEach(({ loads }) => loads.setPeerUse(address, announcedUse, false));
    }, pattern.peerDelayMs);
  }

  function sendSpeeds(bytes: Buffer, addresses: readonly string[]): Promise<void> {
    const message = decodeSpeedMessage(bytes);
    const receivers = routers.filter(({ address }) => addresses.includes(address));
    setTimeout(() => {
      receivers.forEach(({ speeds }) => message && speeds.receive(message));
    }, pattern.peerDelayMs);
    return Promise.resolve();
  }

  async function generateArrivals(kind: RequestKind, kindRandom: Random): Promise<void> {
    const endsAtMs = performance.now() + pattern.seconds * msPerSecond;
    while (performance.now() < endsAtMs) {
      const rate = kind.ratePerSecond * rateFactor(pattern, kind);
      await delay((-Math.log(1 - kindRandom()) / rate) * msPerSecond);
      startCaller(kind, kindRandom);
    }
  }

  function startCaller(kind: RequestKind, kindRandom: Random): void {
    const leave = activeStep(pattern, 'callers-leave');
    const repeat = activeStep(pattern, 'callers-repeat');
    const size = drawSize(kind, pattern.engines.tokensPerEvent, kindRandom);
    const leaves = kindRandom() < (leave?.share ?? 0);
    const repeats = kindRandom() < (repeat?.share ?? 0);
    void runCaller({
      kind,
      size,
      nextRequestId() {
        requestNumber += 1;
        return `r${requestNumber}`;
      },
      noteRequest: (requestId) => sizes.set(requestId, size),
      serve: (exchange) => serveAtRandomRouter(exchange),
      disconnectAfterMs: leaves ? leave?.afterMs : undefined,
      immediateRetries: repeats ? repeat?.times : undefined,
      onEnd: (end) => ends.push(end),
    });
  }

  function serveAtRandomRouter(exchange: CallerExchange): Promise<void> {
    const router = routers[Math.floor(random() * routers.length)];
    return router?.serve(exchange) ?? Promise.resolve();
  }

  async function applyStep(step: LoadStep): Promise<void> {
    await delay(step.atS * msPerSecond);
    switch (step.kind) {
      case 'engines-lost':
        crashEngines(step.share, step.forS * msPerSecond);
        return;
      case 'routers-restart':
        await Promise.all(routers.map((router) => router.stop()));
        routers = startRouters();
        return;
      case 'rate':
      case 'callers-leave':
      case 'callers-repeat':
        return;
      default:
        assertNever(step);
    }
  }

  function crashEngines(share: number, forMs: number): void {
    const decode = [...engines.values()].filter(({ server }) => server().stage === stages.decode);
    decode.slice(0, Math.ceil(share * decode.length)).forEach((engine) => engine.crash(forMs));
  }

  return {
    ends,
    reservations,
    engines: () => [...engines.values()],
    async stop() {
      const stopped = routers.map((router) => router.stop());
      engines.forEach((engine) => engine.stop());
      await Promise.all(stopped);
    },
  };
}

function activeStep<Kind extends LoadStep['kind']>(
  { steps }: LoadPattern,
  kind: Kind,
): Extract<LoadStep, { kind: Kind }> | undefined {
  const atS = performance.now() / msPerSecond;
  return steps.find(
    (step): step is Extract<LoadStep, { kind: Kind }> =>
      step.kind === kind && 'forS' in step && atS >= step.atS && atS < step.atS + step.forS,
  );
}

function rateFactor({ steps }: LoadPattern, { name }: RequestKind): number {
  const atS = performance.now() / msPerSecond;
  return steps
    .filter((step) => step.kind === 'rate')
    .filter(({ of = name, atS: from, forS }) => of === name && atS >= from && atS < from + forS)
    .reduce((product, { factor }) => product * factor, 1);
}

function createEngines(
  { engines: shape }: LoadPattern,
  absent: ReadonlySet<Mechanism>,
  onRestart: Parameters<typeof createEngineModel>[0]['onRestart'],
): Map<string, EngineModel> {
  const prefillCount = absent.has(mechanisms.readingApart) ? 0 : shape.prefill;
  const names = Array.from({ length: shape.decode + shape.prefill }, (_none, n) => `e${n}`);
  return new Map(
    names.map((name, index) => {
      const stage = index < prefillCount ? stages.prefill : stages.decode;
      const ownShape = scaleTimes(shape, shape.slowness[index % shape.slowness.length] ?? 1);
      return [name, createEngineModel({ name, serviceName, stage, shape: ownShape, onRestart })];
    }),
  );
}

function scaleTimes(shape: EngineShape, factor: number): EngineShape {
  return {
    ...shape,
    stepMs: shape.stepMs * factor,
    stepPerStreamMs: shape.stepPerStreamMs * factor,
    readTokensPerMs: shape.readTokensPerMs / factor,
  };
}

function createConfiguration(
  { kinds, engines }: LoadPattern,
  absent: ReadonlySet<Mechanism>,
): Configuration {
  return {
    version: 1,
    routes: kinds.map((kind) => ({
      name: kind.name,
      host: 'replay',
      pathPrefix: `/${kind.name}/`,
      kind: routeKinds.stream,
      timeoutMs: kind.timeoutMs,
      targetLatencyMs: kind.targetMs,
      targetGapMs: kind.gapMs,
      priority: kind.priority,
      maxAttempts: kind.allowsResume ? 2 : 1,
      allowsResume: kind.allowsResume && !absent.has(mechanisms.resumption),
      targets: [{ serviceName, weight: 1 }],
    })),
    services: [
      {
        name: serviceName,
        maxConnections: 1_000,
        engine: { kvTokens: engines.memoryTokens, reservationLimitMs, stageSwitchMs: 6_000 },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}
