/** Settings of `bluebell-agent`, given as flags or `BLUEBELL_*` environment variables. */
import * as z from 'zod';
import { peerSettings } from '@bluebellhitch/membership';
import { workerRoleSchema } from '@bluebellhitch/protocol';
import { innerSecuritySettings } from '@bluebellhitch/security';
import type { SettingValues } from '@bluebellhitch/shared';
import { lifecycleSettings } from '@bluebellhitch/telemetry';

const port = z.coerce.number().int().min(0).max(65_535);
const ipAddress = z.union([z.ipv4(), z.ipv6()]);
const httpAddress = z
  .string({ error: 'is required: http://ip:port' })
  .regex(/^http:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i, 'must be http://ip:port');
const identifier = z
  .string({ error: 'is required' })
  .regex(/^[\w.-]{1,100}$/, 'must be letters, digits, dots, hyphens or underscores');

export const agentSettings = {
  instanceId: { schema: identifier, description: 'Name of this instance, unique in the fleet.' },
  dataCentre: { schema: identifier, description: 'Data centre that this instance is in.' },
  service: { schema: identifier, description: 'Service that the backend server belongs to.' },
  backendKind: {
    schema: z.enum(['model', 'plain']),
    description: 'Kind of backend server: model or plain.',
    defaultText: 'model',
  },
  role: {
    schema: workerRoleSchema.optional(),
    description: 'Role the engine starts with; its own report decides later.',
  },
  backendUrl: {
    schema: httpAddress,
    description: 'Address of the backend server, http://ip:port.',
  },
  kvAddress: {
    schema: httpAddress.optional(),
    description: 'Where other engines fetch KV cache, http://ip:port; absent: the backend address.',
  },
  platformUrl: { schema: httpAddress, description: 'Address of the platform, http://ip:port.' },
  ...peerSettings,
  innerHost: {
    schema: ipAddress,
    description: 'IP number that entries reach.',
    defaultText: '127.0.0.1',
  },
  innerPort: {
    schema: port,
    description: 'Port for entries; 0 takes a free one.',
    defaultText: '0',
  },
  adminHost: {
    schema: ipAddress,
    description: 'IP number of the admin port.',
    defaultText: '127.0.0.1',
  },
  adminPort: { schema: port, description: 'Admin port; 0 takes a free one.', defaultText: '0' },
  kvLinkBytesPerSecond: {
    schema: z.coerce.number().positive(),
    description: 'Rate of this server’s link for KV cache, in bytes a second.',
    defaultText: '4000000000',
  },
  memoryMb: {
    schema: z.coerce.number().int().positive(),
    description:
      'Memory of this process, in MB: bodies of calls may take 15 in 100, connections 10.',
    defaultText: '282',
  },
  logLevel: {
    schema: z.enum(['debug', 'info', 'warn', 'error']),
    description: 'Lowest level that is logged.',
    defaultText: 'info',
  },
  ...innerSecuritySettings,
  ...lifecycleSettings,
} as const;

export type AgentSettings = SettingValues<typeof agentSettings>;
