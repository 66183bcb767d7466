/**
 * Determines whether a server that broke off a call has ended, or has only closed that connection: servers also reset
 * connections when they are full, and responses are lost on the way.
 */

import type { BackendApi } from '../backendApi';
import type { BackendServer } from '../model';
import { probeRepeatedly } from './repeatedProbe';
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

export function createServerEnds({ backend, directory }: ServerEndsOptions): ServerEnds {
  const inProgress = new Map<string, Promise<boolean>>();
  const signsInProgress = new Map<string, Promise<boolean>>();

  /** A server that has announced its end cuts what it still runs; one that is no longer listed ended earlier. */
  function isEndExpected({ id }: BackendServer): boolean {
    return directory.get(id)?.isDraining !== false;
  }

  async function probeCrash(server: BackendServer): Promise<boolean> {
    const presence = await probeRepeatedly(() => backend.probe(server, probeTimeoutMs));
    return presence === 'unknown' ? directory.hasRestarted(server) : presence === 'ended';
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
    const probes = probeCrash(server).finally(() => inProgress.delete(server.id));
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
