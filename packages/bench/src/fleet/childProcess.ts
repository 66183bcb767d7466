/**
 * Processes of dist/ that the bench and `npm start` start. None outlives its starter: each ends with its
 * standard input, which the kernel closes when the starter dies.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { flagName, monotonicNowMs } from '@bluebellhitch/shared';

export interface BinarySpec {
  /** Unique within a fleet; for messages. */
  name: string;
  /** File of the directory of binaries, without its suffix. */
  binary: string;
  /** Become flags; those that are undefined are left out. */
  settings: Record<string, string | number | undefined>;
}

export interface StartBinaryOptions {
  /** Where the built binaries are. */
  binaryDirectory: string;
  /** Loaded into stand-ins, which do not watch their parent by themselves. */
  exitWithParentPath: string;
  /** How long a graceful stop may take; default 8 s. */
  stopBoundMs?: number;
  /** Sees every line that the processes write. */
  onLine?: (name: string, line: string) => void;
}

export interface RunningBinary {
  name: string;
  pid: number;
  /** The addresses of its `listening` line. */
  addresses: Record<string, string>;
  /** Resolves with the signal or the exit code by which it ended. */
  ended: Promise<string>;
  isRunning(): boolean;
  /** Asks for a graceful stop and kills what takes too long; false unless it ended with exit code 0. */
  stop(): Promise<boolean>;
  kill(): void;
}

const startBoundMs = 60_000;
const defaultStopBoundMs = 8_000;
const keptErrorLines = 20;

/** Starts a binary; resolves once it listens and rejects where it does not in time. */
export async function startBinary(
  spec: BinarySpec,
  options: StartBinaryOptions,
): Promise<RunningBinary> {
  const child = spawn(process.execPath, commandLineOf(spec, options), {
    env: childEnvironment(),
    stdio: ['pipe', 'pipe', 'pipe'],
    // Its own process group, so that Ctrl-C reaches the starter alone and the order of stops holds.
    detached: true,
  });
  // Writing to a child that died must not end the starter.
  child.stdin?.on('error', () => undefined);
  const { onLine = () => undefined, stopBoundMs = defaultStopBoundMs } = options;
  const ended = new Promise<string>((resolve) => {
    child.once('exit', (code, signal) => resolve(signal ?? `exit code ${code}`));
  });
  const addresses = await waitForListening(spec.name, child, onLine).catch((error: unknown) => {
    child.kill('SIGKILL');
    throw error;
  });
  return {
    name: spec.name,
    pid: child.pid ?? 0,
    addresses,
    ended,
    isRunning: () => isRunning(child),
    stop: () => stopChild(child, stopBoundMs),
    kill: () => {
      child.kill('SIGKILL');
    },
  };
}

function commandLineOf(spec: BinarySpec, options: StartBinaryOptions): string[] {
  const preload = spec.binary.startsWith('standin-')
    ? ['--import', options.exitWithParentPath]
    : [];
  const flags = Object.entries(spec.settings)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${flagName(name)}=${value}`);
  return [...preload, join(options.binaryDirectory, `${spec.binary}.js`), ...flags];
}

/**
 * The caller's `BLUEBELL_*` variables are the starter's own; a binary's settings are passed as flags. Fleets
 * run on this machine only and know each other without keys.
 */
function childEnvironment(): NodeJS.ProcessEnv {
  const inherited = Object.entries(process.env).filter(([name]) => !name.startsWith('BLUEBELL_'));
  return {
    ...Object.fromEntries(inherited),
    BLUEBELL_EXIT_ON_STDIN_END: 'true',
    BLUEBELL_INSECURE_INNER: 'true',
  };
}

function waitForListening(
  name: string,
  child: ChildProcess,
  onLine: (name: string, line: string) => void,
): Promise<Record<string, string>> {
  const recentErrors: string[] = [];
  readLines(child.stderr, (line) => {
    onLine(name, line);
    recentErrors.push(line);
    recentErrors.splice(0, Math.max(0, recentErrors.length - keptErrorLines));
  });
  return new Promise((resolve, reject) => {
    const fail = (cause: string) =>
      reject(new Error(`${name} did not start: ${cause}\n${recentErrors.join('\n')}`));
    const timer = setTimeout(() => fail('no listening line in time'), startBoundMs);
    child.once('error', (error) => fail(error.message));
    child.once('close', (code, signal) => fail(`ended with ${signal ?? `code ${code}`}`));
    readLines(child.stdout, (line) => {
      onLine(name, line);
      const parsed = parseLogLine(line);
      if (parsed?.message === 'listening') {
        clearTimeout(timer);
        resolve(parsed.context);
      }
    });
  });
}

function readLines(stream: NodeJS.ReadableStream | null, onLine: (line: string) => void): void {
  if (stream !== null) {
    createInterface({ input: stream }).on('line', onLine);
  }
}

interface LogLine {
  level?: string;
  message: string;
  context: Record<string, string>;
}

/** Reads a JSON log line; anything else is undefined. */
export function parseLogLine(line: string): LogLine | undefined {
  try {
    return JSON.parse(line) as LogLine;
  } catch {
    return undefined;
  }
}

function isRunning(child: ChildProcess): boolean {
  return child.exitCode === null && child.signalCode === null;
}

async function stopChild(child: ChildProcess, stopBoundMs: number): Promise<boolean> {
  if (!isRunning(child)) {
    return child.exitCode === 0;
  }
  const startedAtMs = monotonicNowMs();
  const exited = once(child, 'exit');
  child.kill('SIGTERM');
  const timer = setTimeout(() => child.kill('SIGKILL'), stopBoundMs);
  await exited;
  clearTimeout(timer);
  if (child.signalCode === 'SIGKILL') {
    const waitedMs = Math.round(monotonicNowMs() - startedAtMs);
    process.stderr.write(`killed process ${child.pid} after waiting ${waitedMs} ms for its stop\n`);
  }
  return child.exitCode === 0;
}
