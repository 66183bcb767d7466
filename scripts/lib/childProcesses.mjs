/** Processes that a script starts: they cannot outlive it, and it learns when they listen and end. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { repositoryRoot } from './repository.mjs';

const startBoundMs = 30_000;
const stopBoundMs = 130_000;

/** `{ adminPort: 9090 }` becomes `['--admin-port=9090']`. */
export function flagsOf(settings) {
  return Object.entries(settings)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => {
      const flag = name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
      return `--${flag}=${value}`;
    });
}

/**
 * Starts a binary of dist/. `listening` resolves with the context of its `listening` line; `onLine`
 * sees every line of its output.
 */
export function startBinary({ name, binary, settings, onLine = () => undefined }) {
  const child = spawn(
    process.execPath,
    [...preloadOf(binary), join(repositoryRoot, 'dist', `${binary}.js`), ...flagsOf(settings)],
    {
      env: childEnvironment(),
      stdio: ['pipe', 'pipe', 'pipe'],
      // Its own process group, so that Ctrl-C reaches this script alone and the order of stops holds.
      detached: true,
    },
  );
  const exited = new Promise((resolve) => {
    child.once('error', (error) => resolve({ code: null, signal: null, error }));
    child.once('exit', (code, signal) => resolve({ code, signal }));
  });
  // Writing to a child that died must not end this script.
  child.stdin.on('error', () => undefined);
  return {
    name,
    binary,
    pid: child.pid,
    exited,
    isRunning: () => child.exitCode === null && child.signalCode === null,
    listening: waitForListening(child, name, exited, onLine),
    /** Asks for a graceful stop; resolves with whether it ended by itself with exit code 0. */
    stop: () => stopChild(child, exited),
    kill: () => child.kill('SIGKILL'),
  };
}

/** The product's binaries watch their standard input themselves. */
function preloadOf(binary) {
  return binary.startsWith('standin-')
    ? ['--import', new URL('exitWithParent.mjs', import.meta.url)]
    : [];
}

/** The caller's settings are the script's; those of the binaries are passed as flags. */
function childEnvironment() {
  const inherited = Object.entries(process.env).filter(([name]) => !name.startsWith('BLUEBELL_'));
  // The kernel ends the standard input of each child when this script dies, even by SIGKILL.
  return { ...Object.fromEntries(inherited), BLUEBELL_EXIT_ON_STDIN_END: 'true' };
}

async function waitForListening(child, name, exited, onLine) {
  const recentErrors = [];
  const listening = new Promise((resolve) => {
    createInterface({ input: child.stdout }).on('line', (line) => {
      onLine(line);
      const parsed = parseLine(line);
      if (parsed?.message === 'listening') {
        resolve(parsed.context);
      }
    });
  });
  createInterface({ input: child.stderr }).on('line', (line) => {
    recentErrors.splice(0, Math.max(0, recentErrors.length - 20));
    recentErrors.push(line);
    onLine(line);
  });
  const context = await Promise.race([
    listening,
    exited.then(() => undefined),
    timeout(startBoundMs).then(() => undefined),
  ]);
  if (context === undefined) {
    throw new Error(`${name} did not start listening\n${recentErrors.join('\n')}`);
  }
  return context;
}

async function stopChild(child, exited) {
  child.kill('SIGTERM');
  const end = await Promise.race([exited, timeout(stopBoundMs).then(() => undefined)]);
  if (end === undefined) {
    child.kill('SIGKILL');
    await once(child, 'exit');
  }
  return end?.code === 0;
}

/** Reads a JSON log line; anything else is undefined. */
export function parseLine(line) {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}

function timeout(durationMs) {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs).unref();
  });
}
