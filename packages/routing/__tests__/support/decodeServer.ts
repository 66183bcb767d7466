/** A backend server for tests of model engines. */
import type { BackendServer } from '@bluebellhitch/routing';

/** A decode engine of the service `s`. */
export function decodeServer(id: string): BackendServer {
  return {
    id,
    name: id,
    serviceName: 's',
    address: `${id}:80`,
    dataCentre: 'north',
    slots: 64,
    isDraining: false,
    softwareVersion: 'v1',
    stage: 'decode',
  };
}
