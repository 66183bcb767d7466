/** The router processes: started, signalled and watched. Only processes that were started here are ended. */
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
  /** First two numbers of the loopback addresses, so that runs beside each other do not meet. */
  hostPrefix: string;
  /** `ip:port`. */
  storeAddress: string;
  bounds: PlatformBounds;
  /** The built program. */
  programPath: string;
  /** Loaded into each process: it ends with the run that started it. */
  exitWithParentPath: string;
  /** For settings files and logs. */
  directory: string;
  /** A process ended that nobody had signalled. */
  onOwnEnd: (routerName: string, how: string) => void;
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
  /** Between this router and the store. */
  storeLink: LoopbackProxy;
  /** Counts starts. */
  life(): number;
  /** Whether the process has a listener for changed settings; before that the signal ends it. */
  takesReloads(): boolean;
  isRunning(): boolean;
  /** It has answered that it is ready, in this life. */
  wasReady(): boolean;
  /** The balancer sends callers here: readiness was not missed twice. */
  isInRotation(): boolean;
  start(): void;
  kill(): Promise<void>;
  /** Asks for a graceful stop; undefined where the process does not run. */
  stop(): Promise<StopResult | undefined>;
  freeze(): void;
  thaw(): void;
  reload(): void;
}

export interface RouterFleet {
  routers: readonly RouterProcessHandle[];
  close(): Promise<void>;
}

const ports = { callers: 8_149, ready: 8_141, firstPeer: 7_380, lastPeer: 7_395, admin: 9_464 };
const memoryBytes = 300 * 1_048_576;
const maxDescriptors = 4_000;
const maxSeeds = 3;
/** The balancer asks this often, and two misses take a router out. */
const readyIntervalMs = 500;
const readyTimeoutMs = 450;
const missesUntilOut = 2;
const signalNumbers = { hangUp: constants.signals.SIGHUP };

export async function startRouterFleet(options: RouterFleetOptions): Promise<RouterFleet> {
  const ips = Array.from({ length: options.count }, (_none, index) => ipOf(options, index));
  const routers = await Promise.all(ips.map((ip, index) => createRouter(options, ips, ip, index)));
  routers.forEach(({ start }) => start());
  const balancer = createBackgroundLoop(async (signal) => {
    while (!signal.aborted) {
      await Promise.all([delay(readyIntervalMs, signal), ...routers.map(({ ask }) => ask())]);
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
): Promise<RouterProcessHandle & { ask(): Promise<void> }> {
  const name = `router-${index}`;
  const storeLink = await startLoopbackProxy({ host: ip, target: options.storeAddress });
  const settings = settingsOf(options, { name, ip, ips, storeAddress: storeLink.address });
  const settingsPath = join(options.directory, `${name}.json`);
  let child: ChildProcess | undefined;
  let life = 0;
  let misses = missesUntilOut;
  let isExpectedToEnd = false;
  let wasReady = false;

  function start(): void {
    if (child !== undefined) {
      return;
    }
    life += 1;
    isExpectedToEnd = false;
    wasReady = false;
    writeFileSync(settingsPath, encodeSettings(settings));
    const started = spawnRouter(options, name, settingsPath);
    child = started;
    started.once('exit', (code, signal) => {
      child = undefined;
      if (!isExpectedToEnd) {
        options.onOwnEnd(name, signal ?? `exit code ${code}`);
      }
    });
  }

  async function end(signal: 'SIGKILL' | 'SIGTERM'): Promise<StopResult | undefined> {
    const ending = child;
    if (ending === undefined) {
      return undefined;
    }
    isExpectedToEnd = true;
    const signalledAtMs = monotonicNowMs();
    const exited = new Promise<number | null>((resolve) => {
      ending.once('exit', (code) => resolve(code));
    });
    ending.kill(signal);
    const exitCode = await exited;
    return { exitCode, tookMs: monotonicNowMs() - signalledAtMs };
  }

  return {
    name,
    callersAddress: `${ip}:${ports.callers}`,
    storeLink,
    life: () => life,
    takesReloads: () => child?.pid !== undefined && catchesSignal(child.pid, signalNumbers.hangUp),
    isRunning: () => child !== undefined && !isExpectedToEnd,
    wasReady: () => wasReady,
    isInRotation: () => misses < missesUntilOut,
    start,
    async kill() {
      await end('SIGKILL');
    },
    stop: () => end('SIGTERM'),
    freeze() {
      child?.kill('SIGSTOP');
    },
    thaw() {
      child?.kill('SIGCONT');
    },
    reload() {
      writeFileSync(settingsPath, encodeSettings(settings));
      child?.kill('SIGHUP');
    },
    async ask() {
      const isReadyNow = await isReady(`${ip}:${ports.ready}`);
      wasReady ||= isReadyNow;
      misses = isReadyNow ? 0 : misses + 1;
    },
  };
}

function spawnRouter(options: RouterFleetOptions, name: string, settingsPath: string) {
  const log = openSync(join(options.directory, `${name}.log`), 'a');
  const child = spawn(
    process.execPath,
    ['--import', options.exitWithParentPath, options.programPath].concat([
      `--admin-port=${ports.admin}`,
    ]),
    { env: { ...process.env, [settingsVariable]: settingsPath }, stdio: ['pipe', log, log] },
  );
  closeSync(log);
  return child;
}

function settingsOf(
  { bounds }: RouterFleetOptions,
  router: { name: string; ip: string; ips: readonly string[]; storeAddress: string },
): PlatformSettings {
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

/** Whether the process has a handler of its own for the signal, as the kernel tells. */
function catchesSignal(pid: number, signalNumber: number): boolean {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const mask = BigInt(`0x${/^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0'}`);
    return BigInt.asUintN(1, mask / 2n ** BigInt(signalNumber - 1)) === 1n;
  } catch {
    // It has ended meanwhile.
    return false;
  }
}

function isReady(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const asking = request(
      `http://${address}/ready`,
      { agent: false, timeout: readyTimeoutMs },
      (answer) => {
        answer.resume();
        resolve(answer.statusCode === 200);
      },
    );
    asking.on('timeout', () => asking.destroy());
    asking.on('error', () => resolve(false));
    asking.on('close', () => resolve(false));
    asking.end();
  });
}
