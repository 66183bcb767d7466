/**
 * `npm start`: runs the real binaries as separate processes on this machine, with stand-ins for the engines, the plain
 * service and the platform. For the options, see `usage`.
 */
import { join } from 'node:path';
import { pathToFileURL } from 'node:url';
import { parseArgs } from 'node:util';
import { createOutputFilter } from './lib/outputFilter.mjs';
import { findUsedPorts } from './lib/ports.mjs';
import { prepare, repositoryRoot } from './lib/repository.mjs';
import { curlLine, showCompletion, showLookup } from './lib/sampleRequests.mjs';

const usage = `Usage: npm start -- [options]

  --example <name>   halloran-voss (default) or sahlat
  --entries <n>      number of entries, at consecutive ports; default 1
  --full             as many workers as the institution runs today
  --once             send one streamed completion and one plain lookup, then stop
  --verbose          show every line that the processes write

Environment: BLUEBELL_ENTRY_PORT (8080) and BLUEBELL_ADMIN_PORT (9090); 0 takes free ports.`;

const exitCodes = { ok: 0, failure: 1, invalidSettings: 2 };
const parentPollMs = 500;
/** Requests to stop that follow the first within this time are the same one. */
const sameRequestMs = 500;
/** Longer than the binaries of the product may take to stop. */
const stopBoundMs = 130_000;

function print(line) {
  process.stdout.write(`${line}\n`);
}

function readOptions() {
  const { values } = parseArgs({
    options: {
      example: { type: 'string', default: 'halloran-voss' },
      entries: { type: 'string', default: '1' },
      full: { type: 'boolean', default: false },
      once: { type: 'boolean', default: false },
      verbose: { type: 'boolean', default: false },
      help: { type: 'boolean', default: false },
    },
  });
  const options = {
    ...values,
    entryCount: Number(values.entries),
    entryPort: Number(process.env.BLUEBELL_ENTRY_PORT ?? 8080),
    adminPort: Number(process.env.BLUEBELL_ADMIN_PORT ?? 9090),
  };
  return { options, findings: validateOptions(options) };
}

function validateOptions({ entryCount, entryPort, adminPort }) {
  const isPort = (value) => Number.isInteger(value) && value >= 0 && value <= 65_535;
  return [
    [
      Number.isInteger(entryCount) && entryCount >= 1,
      '--entries: must be a whole number, 1 or above',
    ],
    [isPort(entryPort), 'BLUEBELL_ENTRY_PORT: must be a port'],
    [isPort(adminPort), 'BLUEBELL_ADMIN_PORT: must be a port'],
  ].flatMap(([isValid, finding]) => (isValid ? [] : [finding]));
}

/**
 * Resolves with the cause of the first request to stop; a second one calls `onSecond`. Ctrl-C arrives twice under npm: from
 * the terminal, and forwarded by npm.
 */
function waitForStop(onSecond) {
  return new Promise((resolve) => {
    let firstAtMs;
    const stop = (cause) => {
      if (firstAtMs !== undefined && performance.now() - firstAtMs > sameRequestMs) {
        onSecond();
      }
      firstAtMs ??= performance.now();
      resolve(cause);
    };
    process.on('SIGTERM', () => stop('SIGTERM'));
    process.on('SIGINT', () => stop('SIGINT'));
    watchNpm(() => stop('npm ended'));
  });
}

/**
 * Stops when npm is gone: npm cannot forward a SIGKILL, and without this check the processes would keep running
 * unnoticed. `npm start` replaces its shell with this script, so npm is its parent and forwards SIGTERM to it.
 */
function watchNpm(onParentExit) {
  if (process.env.npm_lifecycle_event === undefined) {
    return;
  }
  const parentId = process.ppid;
  const timer = setInterval(() => {
    if (process.ppid !== parentId) {
      clearInterval(timer);
      onParentExit();
    }
  }, parentPollMs);
  timer.unref();
}

function describeProcess({ name, pid, addresses }) {
  const pairs = Object.entries(addresses).map(([label, address]) => `${label}=${address}`);
  return `started ${name} pid=${pid} ${pairs.join(' ')}`;
}

async function sendSampleRequests(callerAddress, example) {
  const write = (text) => process.stdout.write(text);
  await showCompletion(callerAddress, example, write);
  await showLookup(callerAddress, example, write);
}

/** The ports for callers, then the admin ports of entries and agents; without those where any free port is used. */
function fixedPorts({ entryPort, adminPort, entryCount }, { backends }) {
  const portsFrom = (first, count) =>
    first === 0 ? [] : Array.from({ length: count }, (_, index) => first + index);
  return [
    ...portsFrom(entryPort, entryCount),
    ...portsFrom(adminPort, entryCount + backends.length),
  ];
}

async function main() {
  const { options, findings } = readOptions();
  if (options.help || findings.length > 0) {
    print([...findings, usage].join('\n'));
    return options.help ? exitCodes.ok : exitCodes.invalidSettings;
  }
  const prepared = await prepare();
  if (prepared !== 0) {
    return prepared;
  }
  // Imported here, because `prepare` has only just built it.
  const fleetUrl = pathToFileURL(join(repositoryRoot, 'dist', 'development-fleet.js'));
  const library = await import(fleetUrl);
  const institutions = Object.values(library.institutionNames);
  if (!institutions.includes(options.example)) {
    print(`--example: must be one of ${institutions.join(', ')}`);
    return exitCodes.invalidSettings;
  }
  const description = await library.describeFleet({
    examplesDirectory: join(repositoryRoot, 'examples'),
    institution: options.example,
    engine: library.deskEngine,
    workers: options.full ? undefined : library.deskWorkers,
  });
  const usedPorts = await findUsedPorts(fixedPorts(options, description));
  if (usedPorts.length > 0) {
    print(
      `EADDRINUSE: 127.0.0.1 port ${usedPorts.join(', ')}; set BLUEBELL_ENTRY_PORT and BLUEBELL_ADMIN_PORT (0 takes free ports)`,
    );
    return exitCodes.failure;
  }
  return run(library, description, options);
}

async function run({ startFleet, parseLogLine, modelDocumentOf }, description, options) {
  let fleet;
  const stopRequested = waitForStop(() => {
    fleet?.kill();
    process.exit(exitCodes.failure);
  });
  const starting = startFleet({
    description,
    binaryDirectory: join(repositoryRoot, 'dist'),
    exitWithParentPath: join(repositoryRoot, 'scripts', 'lib', 'exitWithParent.mjs'),
    stopBoundMs,
    entryGroups: [{ name: '', count: options.entryCount, settings: {} }],
    firstPorts: options,
    onStarted: (started) => print(describeProcess(started)),
    onEnded: (name, cause) => print(`${name} ended unexpectedly: ${cause}`),
    onLine: createOutputFilter(options, parseLogLine, print),
  });
  fleet = await Promise.race([starting, stopRequested.then(() => undefined)]);
  const { institution } = description;
  const example = { institution, service: modelDocumentOf(description).service };
  return fleet === undefined ? exitCodes.ok : serve(fleet, example, options, stopRequested);
}

async function serve(fleet, example, options, stopRequested) {
  const [{ callerAddress }] = fleet.entries;
  print(`ready on ${fleet.entries.map((entry) => entry.callerAddress).join(' and ')}`);
  print(
    'processes trust each other without keys (BLUEBELL_INSECURE_INNER); see docs/OPERATIONS.md',
  );
  print(`try: ${curlLine(callerAddress, example)}`);
  const outcome = options.once
    ? await sendSampleRequests(callerAddress, example).then(
        () => exitCodes.ok,
        (error) => {
          print(error.message);
          return exitCodes.failure;
        },
      )
    : await stopRequested.then(() => exitCodes.ok);
  print('stopping');
  const killedNames = await fleet.stop();
  killedNames.forEach((name) => print(`${name} did not stop gracefully`));
  return killedNames.length === 0 ? outcome : exitCodes.failure;
}

// Children stop when their standard input closes, so an exit at any point ends every process that was started.
try {
  process.exit(await main());
} catch (error) {
  print(error.message);
  process.exit(exitCodes.failure);
}
