/**
 * Determines whether a server that broke off a call has ended, or has only closed that connection: servers also reset
 * connections when they are full, and responses are lost on the way.
 */
import { delay } from '@bluebellhitch/shared';
import type { BackendApi } from './backendApi';
import type { BackendServer } from './model';
import type { ServerDirectory } from './serverDirectory';

export interface ServerEnds {
  /**
   * Resolves with whether this incarnation of the server has ended unexpectedly; false if that cannot be determined
   * within about a second. Calls for the same server share their probes.
   */
  hasCrashed(server: BackendServer): Promise<boolean>;
  /** Resolves with whether this incarnation of the server answers. Calls for the same server share their probe. */
  isRunning(server: BackendServer): Promise<boolean>;
}

export interface ServerEndsOptions {
  backend: Pick<BackendApi, 'probe'>;
  directory: Pick<ServerDirectory, 'get' | 'hasRestarted'>;
}

const probeTimeoutMs = 400;
/** Pauses before the probes. The listener of a process that ends may outlive its connections for a moment. */
const probeDelaysMs = [0, 100, 400];

export function createServerEnds({ backend, directory }: ServerEndsOptions): ServerEnds {
  const inProgress = new Map<string, Promise<boolean>>();
  const signsInProgress = new Map<string, Promise<boolean>>();

  /** A server that has announced its end cuts what it still runs; one that is no longer listed ended earlier. */
  function isEndExpected({ id }: BackendServer): boolean {
    return directory.get(id)?.isDraining !== false;
  }

  async function probeRepeatedly(server: BackendServer): Promise<boolean> {
    for (const pauseMs of probeDelaysMs) {
      await delay(pauseMs);
      const presence = await backend.probe(server, probeTimeoutMs);
      if (presence !== 'unknown') {
        return presence === 'ended';
      }
    }
    return directory.hasRestarted(server);
  }

  function hasCrashed(server: BackendServer): Promise<boolean> {
    if (directory.hasRestarted(server)) {
      return Promise.resolve(true);
    }
    if (isEndExpected(server)) {
      return Promise.resolve(false);
    }
    const known = inProgress.get(server.id);
    if (known !== undefined) {
      return known;
    }
    const probes = probeRepeatedly(server).finally(() => inProgress.delete(server.id));
    inProgress.set(server.id, probes);
    return probes;
  }

  async function probeOnce(server: BackendServer): Promise<boolean> {
    return (await backend.probe(server, probeTimeoutMs)) === 'running';
  }

  function isRunning(server: BackendServer): Promise<boolean> {
    const known = signsInProgress.get(server.id);
    if (known !== undefined) {
      return known;
    }
    const sign = probeOnce(server).finally(() => signsInProgress.delete(server.id));
    signsInProgress.set(server.id, sign);
    return sign;
  }

  return { hasCrashed, isRunning };
}
