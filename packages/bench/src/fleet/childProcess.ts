/**
 * Starts and stops binaries of dist/ for the bench and `npm start`. No child outlives its parent: each exits when
 * its standard input ends, which the kernel closes when the parent dies.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { flagName, monotonicNowMs } from '@bluebellhitch/shared';

export interface BinarySpec {
  /** Unique within a fleet; used in messages. */
  name: string;
  /** File name in the directory of binaries, without its suffix. */
  binary: string;
  /** Passed as flags; undefined ones are omitted. */
  settings: Record<string, string | number | undefined>;
}

export interface StartBinaryOptions {
  /** Directory of the built binaries. */
  binaryDirectory: string;
  /** Module preloaded into stand-ins, which do not watch their parent by themselves. */
  exitWithParentPath: string;
  /** Timeout of a graceful stop in milliseconds; 8 s by default. */
  stopBoundMs?: number;
  /** Called with every line that the process writes to its outputs. */
  onLine?: (name: string, line: string) => void;
}

export interface RunningBinary {
  name: string;
  pid: number;
  /** Addresses from the context of its `listening` log line. */
  addresses: Record<string, string>;
  /** Resolves with the signal or exit code with which the process ended. */
  ended: Promise<string>;
  isRunning(): boolean;
  /** Stops the process gracefully and kills it after the timeout; resolves with whether its exit code was 0. */
  stop(): Promise<boolean>;
  kill(): void;
}

/** Sizes of the heap for the users' machines; V8 takes much more by itself on a larger one. */
const heapArguments = ['--max-old-space-size=110', '--max-semi-space-size=1'];
const startTimeoutMs = 60_000;
const defaultStopTimeoutMs = 8_000;
const maxErrorLines = 20;

/** Starts a binary; resolves once it listens, and rejects if it exits or does not listen within 60 s. */
export async function startBinary(
  spec: BinarySpec,
  options: StartBinaryOptions,
): Promise<RunningBinary> {
  const child = spawn(process.execPath, buildArguments(spec, options), {
    env: buildChildEnvironment(),
    stdio: ['pipe', 'pipe', 'pipe'],
    // A process group of its own: Ctrl-C reaches the parent only, which then stops the processes in order.
    detached: true,
  });
  // Without a listener, an error on the input of a child that died would end the parent.
  child.stdin?.on('error', () => undefined);
  const { onLine = () => undefined, stopBoundMs = defaultStopTimeoutMs } = options;
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

function buildArguments(spec: BinarySpec, options: StartBinaryOptions): string[] {
  const preload = spec.binary.startsWith('standin-')
    ? ['--import', options.exitWithParentPath]
    : [];
  const flags = Object.entries(spec.settings)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${flagName(name)}=${value}`);
  return [
    ...heapArguments,
    ...preload,
    join(options.binaryDirectory, `${spec.binary}.js`),
    ...flags,
  ];
}

/**
 * Leaves out the `BLUEBELL_*` variables of the parent, which are its own; children get their settings as flags.
 * Fleets run on this machine only, so their processes call each other without keys.
 */
function buildChildEnvironment(): NodeJS.ProcessEnv {
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
    recentErrors.splice(0, Math.max(0, recentErrors.length - maxErrorLines));
  });
  return new Promise((resolve, reject) => {
    const fail = (cause: string) =>
      reject(new Error(`${name} did not start: ${cause}\n${recentErrors.join('\n')}`));
    const timer = setTimeout(() => fail('no `listening` log line within 60 s'), startTimeoutMs);
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

/** Parses a JSON log line; undefined if the line is not JSON. */
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
    process.stderr.write(
      `killed process ${child.pid}: it did not stop gracefully within ${waitedMs} ms\n`,
    );
  }
  return child.exitCode === 0;
}
