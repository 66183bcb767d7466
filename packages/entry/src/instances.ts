/** The instances that requests can be routed to; the instance directory of `membership` implements it. */
import type { PlatformInstance } from '@bluebellhitch/objects';

export interface Instances {
  /** Agents of a service; returns the same array until the list changes. */
  agents(service: string): readonly PlatformInstance[];
  entries(): readonly PlatformInstance[];
  /** The instance reported that it accepts no new work; the instance list shows this only seconds later. */
  markLeaving(instanceId: string): void;
  /** The instance could not be reached. */
  markDown(instanceId: string): void;
}
