/** Runs `scripts/start.mjs` as others do and reads what it prints. */
import { spawn } from 'node:child_process';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { setTimeout as delay } from 'node:timers/promises';

export interface StartedProcess {
  name: string;
  pid: number;
  addresses: Record<string, string>;
}

export interface Quickstart {
  pid: number;
  lines: string[];
  processes: StartedProcess[];
  /** Callers' addresses of the entries, once a request would succeed. */
  ready: Promise<string[]>;
  exited: Promise<number | null>;
  /** For the end of a test: stops what is left, by SIGKILL where the graceful stop takes long. */
  end(): Promise<void>;
  /** The process of that name; throws where there is none. */
  processNamed(name: string): StartedProcess;
}

const repositoryRoot = join(import.meta.dirname, '..', '..', '..', '..');
const stopBoundMs = 10_000;
const startedPattern = /^started (\S+) pid=(\d+) (.*)$/;
const readyPattern = /^ready on (.*)$/;

/** The script itself, or `npm start` as a shell has it. */
export type Launcher = 'node' | 'npm';

export const freePorts = { BLUEBELL_ENTRY_PORT: '0', BLUEBELL_ADMIN_PORT: '0' };

/** Starts the quickstart, on free ports unless they are given. */
export function startQuickstart(
  args: readonly string[] = [],
  launcher: Launcher = 'node',
  ports: NodeJS.ProcessEnv = freePorts,
): Quickstart {
  const [command, ...launchArgs] =
    launcher === 'npm' ? ['npm', 'start', '--'] : [process.execPath, 'scripts/start.mjs'];
  const child = spawn(command ?? '', [...launchArgs, ...args], {
    cwd: repositoryRoot,
    env: {
      ...process.env,
      ...ports,
      // As under npm, the script stops when its parent is gone: a test process that is cut off by a
      // timeout would otherwise leave a whole fleet behind.
      npm_lifecycle_event: 'start',
    },
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const lines: string[] = [];
  const processes: StartedProcess[] = [];
  const exited = new Promise<number | null>((resolve) => {
    child.once('exit', (code) => resolve(code));
  });
  const ready = new Promise<string[]>((resolve, reject) => {
    createInterface({ input: child.stdout }).on('line', (line) => {
      lines.push(line);
      const started = startedPattern.exec(line);
      if (started !== null) {
        processes.push(startedProcess(started));
      }
      const addresses = readyPattern.exec(line)?.[1];
      if (addresses !== undefined) {
        resolve(addresses.split(' and '));
      }
    });
    child.once('exit', () => reject(new Error(`ended before it was ready:\n${lines.join('\n')}`)));
  });
  // A test that waits for the exit alone does not look at `ready`.
  ready.catch(() => undefined);
  return {
    pid: child.pid ?? 0,
    lines,
    processes,
    ready,
    exited,
    async end() {
      if (child.exitCode === null && child.kill('SIGTERM')) {
        await Promise.race([exited, delay(stopBoundMs)]);
      }
      child.kill('SIGKILL');
      await eventually(() => processes.every((started) => !isRunning(started.pid)));
    },
    processNamed(name) {
      const found = processes.find((started) => started.name === name);
      if (found === undefined) {
        throw new Error(`no process ${name}:\n${lines.join('\n')}`);
      }
      return found;
    },
  };
}

/** One quickstart for several tests: started by the first that asks, ended by the hook after them all. */
export function shareQuickstart(launcher: Launcher = 'node') {
  let shared: Quickstart | undefined;
  return {
    get(): Quickstart {
      shared ??= startQuickstart([], launcher);
      return shared;
    },
    async end(): Promise<void> {
      await shared?.end();
    },
  };
}

function startedProcess(match: RegExpExecArray): StartedProcess {
  const [, name = '', pid = '', places = ''] = match;
  const addresses = places.split(' ').map((place) => place.split('='));
  return { name, pid: Number(pid), addresses: Object.fromEntries(addresses) };
}

export function isRunning(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

/** Polls until the condition holds; resolves with whether it did within the bound. */
export async function eventually(
  condition: () => boolean | Promise<boolean>,
  boundMs = 10_000,
): Promise<boolean> {
  const deadlineMs = performance.now() + boundMs;
  while (performance.now() < deadlineMs) {
    if (await condition()) {
      return true;
    }
    await delay(25);
  }
  return false;
}
