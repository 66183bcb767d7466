/**
 * Starts routers as the deploy file does, as separate processes on loopback addresses, with the settings that the pages
 * show for the site `hvst-bonds`. Ends only processes that it started.
 */
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { startLoopbackProxy } from './standins.mjs';

const repositoryRoot = join(import.meta.dirname, '..', '..');
const memoryMegabytes = 200;
/** The command of the role in the deploy file; the admin port is one for each loopback address. */
const command = ['--max-old-space-size=110', 'target/bluebell-router.mjs'];
const readyTimeoutMs = 30_000;
const pollMs = 50;

/** The bounds of the site `hvst-bonds`. */
export const smallBounds = {
  seed_lag_s: 3,
  address_reuse_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  downgrade_ms: 250,
  outer_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_slack: 52,
  recover_s: 12,
  transit_ms: 120,
  reuse_window_s: 6.7,
  require_fencing: false,
  lease_ms: 3000,
  thaw_ms: 300,
};

export async function startFleet({
  count,
  hostPrefix,
  storeAddress,
  bounds = smallBounds,
  limits = {},
}) {
  const directory = mkdtempSync(join(tmpdir(), 'review-'));
  const ips = Array.from({ length: count }, (_none, index) => `${hostPrefix}.${index + 10}`);
  const routers = await Promise.all(
    ips.map((ip, index) =>
      createRouter({ ip, ips, index, directory, storeAddress, bounds, limits }),
    ),
  );
  routers.forEach(({ start }) => start());
  await Promise.all(routers.map(({ whenReady }) => whenReady()));
  return {
    routers,
    directory,
    async close() {
      await Promise.all(routers.map(({ kill }) => kill()));
      routers.forEach(({ storeLink }) => storeLink.close());
      rmSync(directory, { recursive: true, force: true });
    },
  };
}

async function createRouter({ ip, ips, index, directory, storeAddress, bounds, limits }) {
  const name = `front-hall-${index + 1}`;
  const storeLink = await startLoopbackProxy({ host: ip, target: storeAddress });
  const settingsPath = join(directory, `${name}.json`);
  const logPath = join(directory, `${name}.log`);
  const readyAddress = `${ip}:8141`;
  const settings = {
    node_name: name,
    role: 'router',
    machine_class: 'front',
    serves: ['front', 'control'],
    ip,
    zone: 'tacoma-hall',
    region: 'cascadia-west',
    zones: { 'tacoma-hall': 'cascadia-west' },
    listen: { front: `${ip}:8149`, ready: readyAddress, control: `${ip}:8144` },
    port_range: [7380, 7395],
    seeds: ips.slice(0, 3).map((seed) => `${seed}:8144`),
    bootstrap: true,
    limits: {
      cpu_share: 0.513,
      cpu_cores: 1,
      memory_mb: memoryMegabytes,
      max_fds: 4100,
      link_mbps: 1000,
      ...limits,
    },
    data_dir: null,
    discovery: 'platform',
    heartbeat_ms: 1200,
    bounds,
    provider: {
      address: storeLink.address,
      form: 'objects',
      writes_per_s: 400,
      reads_per_s: 2000,
      history_s: 20,
      value_bytes: 1_048_576,
    },
  };
  let child;
  const exits = [];

  function start() {
    writeFileSync(settingsPath, JSON.stringify(settings));
    const log = openSync(logPath, 'a');
    const started = spawn(process.execPath, command, {
      cwd: repositoryRoot,
      env: { PATH: process.env.PATH, BLUEBELLHITCH_NODE_FILE: settingsPath },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    child = started;
    started.once('exit', (code, signal) => {
      exits.push({ code, signal, atMs: performance.now() });
      child = child === started ? undefined : child;
    });
  }

  async function end(signal) {
    const running = child;
    if (running === undefined) {
      return;
    }
    const exited = new Promise((resolve) => {
      running.once('exit', resolve);
    });
    running.kill(signal);
    running.kill('SIGCONT');
    await exited;
  }

  return {
    name,
    ip,
    port: 8149,
    logPath,
    storeLink,
    exits,
    pid: () => child?.pid,
    start,
    signal: (signal) => child?.kill(signal),
    stop: () => end('SIGTERM'),
    kill: () => end('SIGKILL'),
    isReady: () => isReady(readyAddress),
    async whenReady() {
      const endsAtMs = performance.now() + readyTimeoutMs;
      while (!(await isReady(readyAddress))) {
        if (performance.now() > endsAtMs) {
          throw new Error(`${name} is not ready`);
        }
        await delay(pollMs);
      }
    },
  };
}

function isReady(address) {
  return new Promise((resolve) => {
    const poll = request(`http://${address}/ready`, { agent: false, timeout: 500 }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    poll.on('timeout', () => poll.destroy());
    poll.on('error', () => resolve(false));
    poll.end();
  });
}
