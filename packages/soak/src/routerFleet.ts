/** Starts, signals and monitors the router processes. It ends only processes that it started itself. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { constants } from 'node:os';
import { join } from 'node:path';
import type { PlatformBounds, PlatformSettings } from '@bluebellhitch/platform';
import { settingsVariable } from '@bluebellhitch/platform';
import { encodeSettings } from '@bluebellhitch/platform-standins';
import { createBackgroundLoop, delay, monotonicNowMs } from '@bluebellhitch/shared';
import { startLoopbackProxy, type LoopbackProxy } from './loopbackProxy';

export interface RouterFleetOptions {
  count: number;
  /** First three numbers of the loopback addresses; concurrent runs need different ones. */
  hostPrefix: string;
  /** `ip:port`. */
  storeAddress: string;
  bounds: PlatformBounds;
  /** Memory of each machine. Default: 300 MB. */
  memoryBytes?: number;
  /** Descriptors of each process. Default: 4,000. */
  maxDescriptors?: number;
  /** Arguments of Node.js. Default: none. */
  nodeArguments?: readonly string[];
  /** Path of the built router. */
  programPath: string;
  /** A module loaded into each process, which makes it exit when this process ends. */
  exitWithParentPath: string;
  /** Directory for settings files and logs. */
  directory: string;
  /** Called when a process exits without a signal from the fleet. */
  onUnexpectedExit: (routerName: string, how: string) => void;
}

/** How a process ended after a signal to stop. */
export interface StopResult {
  exitCode: number | null;
  tookMs: number;
}

export interface RouterProcessHandle {
  name: string;
  /** `ip:port` for callers. */
  callersAddress: string;
  /** `ip:port` of the readiness endpoint. */
  readyAddress: string;
  /** `ip:port` of the admin server. */
  adminAddress: string;
  /** Proxy between this router and the store. */
  storeLink: LoopbackProxy;
  /** How many times the process has been started. */
  incarnation(): number;
  /** Whether the process handles the reload signal; until then the signal ends it. */
  handlesReload(): boolean;
  isRunning(): boolean;
  /** Id of the process; undefined if it is not running. */
  pid(): number | undefined;
  /** Whether this incarnation has reported that it is ready. */
  wasReady(): boolean;
  /** Whether the balancer sends callers here: fewer than two consecutive readiness polls have failed. */
  isInRotation(): boolean;
  start(): void;
  kill(): Promise<void>;
  /** Requests a graceful stop; undefined if the process is not running. */
  stopGracefully(): Promise<StopResult | undefined>;
  freeze(): void;
  resume(): void;
  /** Lets the process run for `runMs` of each `periodMs`, until the returned function is called. */
  starve(share: { runMs: number; periodMs: number }): () => Promise<void>;
  /** Whether the process is stopped or starved. */
  isHeldUp(): boolean;
  reload(): void;
}

export interface RouterFleet {
  routers: readonly RouterProcessHandle[];
  close(): Promise<void>;
}

const ports = { callers: 8_149, ready: 8_141, firstPeer: 7_380, lastPeer: 7_395, admin: 9_464 };
const defaultMemoryBytes = 300 * 1_048_576;
const defaultMaxDescriptors = 4_000;
const maxSeeds = 3;
/** Interval of the balancer's readiness polls; two failures take a router out of rotation. */
const readyPollIntervalMs = 500;
const readyTimeoutMs = 450;
const maxMissedPolls = 2;
const signalNumbers = { hangUp: constants.signals.SIGHUP };

export async function startRouterFleet(options: RouterFleetOptions): Promise<RouterFleet> {
  const ips = Array.from({ length: options.count }, (_none, index) => ipOf(options, index));
  const routers = await Promise.all(ips.map((ip, index) => createRouter(options, ips, ip, index)));
  routers.forEach(({ start }) => start());
  const balancer = createBackgroundLoop(async (signal) => {
    while (!signal.aborted) {
      await Promise.all([
        delay(readyPollIntervalMs, signal),
        ...routers.map(({ pollReadiness }) => pollReadiness()),
      ]);
    }
  });
  balancer.start();
  return {
    routers,
    async close() {
      await balancer.stop();
      await Promise.all(routers.map(({ kill }) => kill()));
      routers.forEach(({ storeLink }) => storeLink.close());
    },
  };
}

function ipOf({ hostPrefix }: RouterFleetOptions, index: number): string {
  return `${hostPrefix}.${10 + index}`;
}

async function createRouter(
  options: RouterFleetOptions,
  ips: readonly string[],
  ip: string,
  index: number,
): Promise<RouterProcessHandle & { pollReadiness(): Promise<void> }> {
  const name = `router-${index}`;
  const storeLink = await startLoopbackProxy({ host: ip, target: options.storeAddress });
  const settings = createSettings(options, { name, ip, ips, storeAddress: storeLink.address });
  const settingsPath = join(options.directory, `${name}.json`);
  let child: ChildProcess | undefined;
  let incarnation = 0;
  let missedPolls = maxMissedPolls;
  let isExitExpected = false;
  let wasReady = false;
  let isFrozen = false;
  let starvingCount = 0;

  function start(): void {
    if (child !== undefined) {
      return;
    }
    incarnation += 1;
    isExitExpected = false;
    wasReady = false;
    writeFileSync(settingsPath, encodeSettings(settings));
    const started = spawnRouter(options, name, settingsPath);
    child = started;
    started.once('exit', (code, signal) => {
      child = undefined;
      if (!isExitExpected) {
        options.onUnexpectedExit(name, signal ?? `exit code ${code}`);
      }
    });
  }

  function resume(): void {
    isFrozen = false;
    child?.kill('SIGCONT');
  }

  async function terminate(signal: 'SIGKILL' | 'SIGTERM'): Promise<StopResult | undefined> {
    const running = child;
    if (running === undefined) {
      return undefined;
    }
    isExitExpected = true;
    const signalledAtMs = monotonicNowMs();
    const exited = new Promise<number | null>((resolve) => {
      running.once('exit', (code) => resolve(code));
    });
    running.kill(signal);
    const exitCode = await exited;
    return { exitCode, tookMs: monotonicNowMs() - signalledAtMs };
  }

  return {
    name,
    callersAddress: `${ip}:${ports.callers}`,
    readyAddress: `${ip}:${ports.ready}`,
    adminAddress: `${ip}:${ports.admin}`,
    storeLink,
    incarnation: () => incarnation,
    handlesReload: () => child?.pid !== undefined && catchesSignal(child.pid, signalNumbers.hangUp),
    isRunning: () => child !== undefined && !isExitExpected,
    pid: () => child?.pid,
    wasReady: () => wasReady,
    isInRotation: () => missedPolls < maxMissedPolls,
    start,
    async kill() {
      await terminate('SIGKILL');
    },
    stopGracefully: () => terminate('SIGTERM'),
    freeze() {
      isFrozen = true;
      child?.kill('SIGSTOP');
    },
    resume,
    starve({ runMs, periodMs }) {
      starvingCount += 1;
      const loop = createBackgroundLoop(async (signal) => {
        while (!signal.aborted) {
          child?.kill('SIGSTOP');
          await delay(periodMs - runMs, signal);
          child?.kill('SIGCONT');
          await delay(runMs, signal);
        }
      });
      loop.start();
      return async () => {
        await loop.stop();
        starvingCount -= 1;
        resume();
      };
    },
    isHeldUp: () => isFrozen || starvingCount > 0,
    reload() {
      writeFileSync(settingsPath, encodeSettings(settings));
      child?.kill('SIGHUP');
    },
    async pollReadiness() {
      const isReadyNow = await isReady(`${ip}:${ports.ready}`);
      wasReady ||= isReadyNow;
      missedPolls = isReadyNow ? 0 : missedPolls + 1;
    },
  };
}

function spawnRouter(options: RouterFleetOptions, name: string, settingsPath: string) {
  const log = openSync(join(options.directory, `${name}.log`), 'a');
  const child = spawn(
    process.execPath,
    [
      ...(options.nodeArguments ?? []),
      ...['--import', options.exitWithParentPath, options.programPath],
      `--admin-port=${ports.admin}`,
    ],
    { env: { ...process.env, [settingsVariable]: settingsPath }, stdio: ['pipe', log, log] },
  );
  closeSync(log);
  return child;
}

function createSettings(
  options: RouterFleetOptions,
  router: { name: string; ip: string; ips: readonly string[]; storeAddress: string },
): PlatformSettings {
  const { bounds, memoryBytes = defaultMemoryBytes } = options;
  const { maxDescriptors = defaultMaxDescriptors } = options;
  return {
    instanceId: router.name,
    dataCentre: 'north',
    callersAddress: `${router.ip}:${ports.callers}`,
    readyAddress: `${router.ip}:${ports.ready}`,
    ip: router.ip,
    peerPorts: { first: ports.firstPeer, last: ports.lastPeer },
    seedIps: router.ips.slice(0, maxSeeds),
    memoryBytes,
    maxDescriptors,
    store: { address: router.storeAddress },
    bounds,
  };
}

/** Whether the process has installed a handler for the signal, according to the kernel. */
function catchesSignal(pid: number, signalNumber: number): boolean {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const mask = BigInt(`0x${/^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0'}`);
    return BigInt.asUintN(1, mask / 2n ** BigInt(signalNumber - 1)) === 1n;
  } catch {
    // The process has ended in the meantime.
    return false;
  }
}

function isReady(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const readyRequest = request(
      `http://${address}/ready`,
      { agent: false, timeout: readyTimeoutMs },
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    readyRequest.on('timeout', () => readyRequest.destroy());
    readyRequest.on('error', () => resolve(false));
    readyRequest.on('close', () => resolve(false));
    readyRequest.end();
  });
}
