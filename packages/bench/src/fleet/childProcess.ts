/**
 * Processes of dist/ that the bench starts. None outlives it: each ends with its standard input, which
 * the kernel closes when the bench dies.
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
}

export interface RunningBinary {
  name: string;
  pid: number;
  /** The addresses of its `listening` line. */
  addresses: Record<string, string>;
  isRunning(): boolean;
  /** Asks for a graceful stop; kills what takes too long. */
  stop(): Promise<void>;
  kill(): void;
}

const startBoundMs = 60_000;
const stopBoundMs = 8_000;
const keptErrorLines = 20;

/** Starts a binary; resolves once it listens and rejects where it does not in time. */
export async function startBinary(
  spec: BinarySpec,
  options: StartBinaryOptions,
): Promise<RunningBinary> {
  const child = spawn(process.execPath, commandLineOf(spec, options), {
    env: childEnvironment(),
    stdio: ['pipe', 'pipe', 'pipe'],
    // Its own process group, so that Ctrl-C reaches the bench alone and the order of stops holds.
    detached: true,
  });
  // Writing to a child that died must not end the bench.
  child.stdin?.on('error', () => undefined);
  const addresses = await waitForListening(spec.name, child).catch((error: unknown) => {
    child.kill('SIGKILL');
    throw error;
  });
  return {
    name: spec.name,
    pid: child.pid ?? 0,
    addresses,
    isRunning: () => isRunning(child),
    stop: () => stopChild(child),
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
 * The caller's `BLUEBELL_*` variables are the bench's own; a binary's settings are passed as flags. Fleets
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

function waitForListening(name: string, child: ChildProcess): Promise<Record<string, string>> {
  const recentErrors: string[] = [];
  readLines(child.stderr, (line) => {
    recentErrors.push(line);
    recentErrors.splice(0, recentErrors.length - keptErrorLines);
  });
  return new Promise((resolve, reject) => {
    const fail = (cause: string) =>
      reject(new Error(`${name} did not start: ${cause}\n${recentErrors.join('\n')}`));
    const timer = setTimeout(() => fail('no listening line in time'), startBoundMs);
    child.once('error', (error) => fail(error.message));
    child.once('close', (code, signal) => fail(`ended with ${signal ?? `code ${code}`}`));
    readLines(child.stdout, (line) => {
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
  message: string;
  context: Record<string, string>;
}

function parseLogLine(line: string): LogLine | undefined {
  try {
    return JSON.parse(line) as LogLine;
  } catch {
    return undefined;
  }
}

function isRunning(child: ChildProcess): boolean {
  return child.exitCode === null && child.signalCode === null;
}

async function stopChild(child: ChildProcess): Promise<void> {
  if (!isRunning(child)) {
    return;
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
}
