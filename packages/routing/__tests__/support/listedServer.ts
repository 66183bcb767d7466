/** A backend server for tests of what is known of servers by their entries. */
import type { BackendServer } from '@bluebellhitch/routing';

/** A plain server of the service `s` under the name `id`. */
export function listedServer(id: string, over: Partial<BackendServer> = {}): BackendServer {
  return {
    id,
    name: id,
    serviceName: 's',
    address: '10.0.0.1:80',
    dataCentre: 'north',
    slots: 4,
    isDraining: false,
    softwareVersion: 'v1',
    ...over,
  };
}
