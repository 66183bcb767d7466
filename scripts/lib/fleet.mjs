/** Starts an example's processes in order, waits until they serve, and stops them in order. */
import { startBinary } from './childProcesses.mjs';
import { applyDocument, listInstances, markLeaving, registerInstance } from './platformControl.mjs';

const host = '127.0.0.1';
const serveBoundMs = 30_000;
const pollMs = 50;
const bytesPerToken = 131_072;
const slotCount = 20;
const typicalTokens = 2_754;
/** Everything runs on this machine, for one person: no keys between the processes. */
const insecureInner = true;

/**
 * `entryPort` and `adminPort` are the first of consecutive ports, or 0 for free ones. `onStarted` sees
 * each process once it listens, `onEnded` one that ends by itself, `onLine` each line of output.
 */
export async function startFleet(options) {
  const { example, entryCount, entryPort, adminPort, onStarted, onEnded, onLine } = options;
  const started = { platform: [], backends: [], agents: [], entries: [] };
  let isStopping = false;

  async function reportEnd(child) {
    const { code, signal } = await child.exited;
    if (!isStopping) {
      onEnded(child.name, signal ?? `exit code ${code}`);
    }
  }

  async function launch(group, spec) {
    const child = startBinary({ ...spec, onLine: (line) => onLine(spec.name, line) });
    started[group].push(child);
    void reportEnd(child);
    const addresses = await child.listening;
    onStarted({ ...child, addresses });
    return { ...child, addresses };
  }

  async function launchAgent(platformUrl, backend, index) {
    const engine = await launch('backends', backendSpec(backend));
    const agent = await launch('agents', {
      name: `${backend.id}-agent`,
      binary: 'bluebell-agent',
      settings: {
        instanceId: backend.id,
        dataCentre: backend.dataCentre,
        service: backend.service,
        backendKind: backend.kind,
        role: backend.role,
        backendUrl: engine.addresses.address,
        platformUrl,
        insecureInner,
        adminPort: nthPort(adminPort, entryCount + index),
      },
    });
    await registerInstance(platformUrl, backend.id, {
      kind: 'agent',
      service: backend.service,
      role: backend.role,
      dataCentre: backend.dataCentre,
      innerAddress: agent.addresses.innerAddress,
      adminAddress: agent.addresses.adminAddress,
    });
    return agent;
  }

  async function launchEntry(platformUrl, index) {
    const instanceId = `entry-${index + 1}`;
    const dataCentre = example.dataCentres[index % example.dataCentres.length];
    const entry = await launch('entries', {
      name: instanceId,
      binary: 'bluebell-entry',
      settings: {
        instanceId,
        dataCentre,
        platformUrl,
        insecureInner,
        entryPort: nthPort(entryPort, index),
        innerPort: 0,
        adminPort: nthPort(adminPort, index),
      },
    });
    const { innerAddress, adminAddress } = entry.addresses;
    const instance = { kind: 'entry', dataCentre, innerAddress, adminAddress };
    await registerInstance(platformUrl, instanceId, instance);
    return entry;
  }

  async function launchAll() {
    const platform = await launch('platform', platformSpec());
    const platformUrl = platform.addresses.address;
    await Promise.all(example.documents.map((document) => applyDocument(platformUrl, document)));
    const agents = await Promise.all(
      example.backends.map((backend, index) => launchAgent(platformUrl, backend, index)),
    );
    await waitUntilListed(platformUrl, example.backends);
    const entries = await Promise.all(
      Array.from({ length: entryCount }, (_, index) => launchEntry(platformUrl, index)),
    );
    await Promise.all([...agents, ...entries].map(waitUntilReady));
    await Promise.all(entries.map((entry) => waitUntilServing(entry, example)));
    return { platformUrl, agents, entries };
  }

  /** Callers' side first, so that nothing is asked of a process that is gone. */
  async function stop(platformUrl) {
    isStopping = true;
    const leaving = started.entries.map(({ name }) => markLeaving(platformUrl, name));
    await Promise.allSettled(leaving);
    const stages = [started.entries, started.agents, started.backends, started.platform];
    const results = [];
    for (const stage of stages) {
      const running = stage.filter((child) => child.isRunning());
      results.push(...(await Promise.all(running.map(stopOne))));
    }
    return results.filter(({ isGraceful }) => !isGraceful).map(({ name }) => name);
  }

  function kill() {
    isStopping = true;
    Object.values(started)
      .flat()
      .forEach((child) => child.kill());
  }

  try {
    const running = await launchAll();
    return { ...running, kill, stop: () => stop(running.platformUrl) };
  } catch (error) {
    kill();
    throw error;
  }
}

async function stopOne(child) {
  return { name: child.name, isGraceful: await child.stop() };
}

function nthPort(firstPort, index) {
  return firstPort === 0 ? 0 : firstPort + index;
}

function platformSpec() {
  return {
    name: 'platform',
    binary: 'standin-platform',
    settings: { host, instanceLagMs: 500 },
  };
}

function backendSpec({ id, kind, role, models }) {
  if (kind === 'plain') {
    return { name: id, binary: 'standin-plain-service', settings: { host } };
  }
  return {
    name: id,
    binary: 'standin-engine',
    settings: {
      host,
      role,
      models: models.map(({ name, version }) => `${name}@${version ?? '1'}`).join(','),
      slotCount,
      kvBytesPerToken: bytesPerToken,
      capacityKvBytes: slotCount * typicalTokens * bytesPerToken,
    },
  };
}

async function waitUntilReady({ name, addresses }) {
  await waitFor(`${name} is not ready`, async () => {
    const response = await fetch(`${addresses.adminAddress}/readyz`);
    await response.text();
    return response.ok;
  });
}

/** An entry that starts after this knows every agent from its first look at the list. */
async function waitUntilListed(platformUrl, backends) {
  await waitFor('the platform does not list all agents', async () => {
    const listed = await listInstances(platformUrl);
    return backends.every((backend) => listed.some(({ id }) => id === backend.id));
  });
}

/** An entry serves once every document is in force there. */
async function waitUntilServing({ name, addresses }, { documents }) {
  await waitFor(`${name} does not serve every document`, async () => {
    const response = await fetch(`${addresses.adminAddress}/debug/services`);
    const services = await response.json();
    const names = services.map(({ document }) => document.service);
    return documents.every(({ content }) => names.includes(content.service));
  });
}

async function waitFor(problem, isDone) {
  const deadlineMs = performance.now() + serveBoundMs;
  while (!(await isDone().catch(() => false))) {
    if (performance.now() > deadlineMs) {
      throw new Error(problem);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, pollMs);
    });
  }
}
