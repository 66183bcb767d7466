/** The view of instances that routing needs; `membership` keeps it. */
import type { PlatformInstance } from '@bluebellhitch/objects';

export interface Instances {
  /** Agents of a service; the same array until something changes. */
  agents(service: string): readonly PlatformInstance[];
  entries(): readonly PlatformInstance[];
  /** The instance said that it takes no new work; the list learns it seconds later. */
  markLeaving(instanceId: string): void;
  /** The instance could not be reached. */
  markDown(instanceId: string): void;
}
