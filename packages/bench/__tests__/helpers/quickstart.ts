/** Runs `scripts/start.mjs` as a user does and parses its output. */
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
  /** Resolves with the callers' addresses of the entries once they serve requests. */
  ready: Promise<string[]>;
  exited: Promise<number | null>;
  /** For the end of a test: stops all remaining processes, with SIGKILL after a timeout of 10 s. */
  end(): Promise<void>;
  /** Returns the process with that name; throws if there is none. */
  processNamed(name: string): StartedProcess;
}

const repositoryRoot = join(import.meta.dirname, '..', '..', '..', '..');
const stopTimeoutMs = 10_000;
const startedPattern = /^started (\S+) pid=(\d+) (.*)$/;
const readyPattern = /^ready on (.*)$/;

/** Runs the script directly or through `npm start`. */
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
      // Makes the script stop when its parent exits, as under npm. Otherwise a test process that is killed by a
      // timeout would leave a whole fleet running.
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
    child.once('exit', () =>
      reject(new Error(`the start script exited before it was ready:\n${lines.join('\n')}`)),
    );
  });
  // A test that waits only for the exit does not handle a rejection of `ready`.
  ready.catch(() => undefined);
  return {
    pid: child.pid ?? 0,
    lines,
    processes,
    ready,
    exited,
    async end() {
      if (child.exitCode === null && child.kill('SIGTERM')) {
        await Promise.race([exited, delay(stopTimeoutMs)]);
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

/** One quickstart for several tests: started by the first test that uses it, stopped by an `after` hook. */
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
  const [, name = '', pid = '', addressFields = ''] = match;
  const addresses = addressFields.split(' ').map((field) => field.split('='));
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

/** Polls until the condition holds; resolves with false if it does not within the timeout. */
export async function eventually(
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 10_000,
): Promise<boolean> {
  const deadlineMs = performance.now() + timeoutMs;
  while (performance.now() < deadlineMs) {
    if (await condition()) {
      return true;
    }
    await delay(25);
  }
  return false;
}
