/** A backend server for tests of model engines. */
import type { BackendServer } from '@bluebellhitch/routing';

/** A decode engine of the service `s`. */
export function decodeServer(id: string, softwareVersion = 'v1'): BackendServer {
  return {
    id,
    name: id,
    serviceName: 's',
    address: `${id}:80`,
    dataCentre: 'north',
    slots: 64,
    isDraining: false,
    softwareVersion,
    stage: 'decode',
  };
}
