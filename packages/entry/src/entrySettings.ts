/** Settings of `bluebell-entry`. */
import { randomUUID } from 'node:crypto';
import * as z from 'zod';
import { placementPolicies } from '@bluebellhitch/decisions';
import { peerSettings } from '@bluebellhitch/membership';
import { innerSecuritySettings } from '@bluebellhitch/security';
import type { SettingValues } from '@bluebellhitch/shared';
import { lifecycleSettings } from '@bluebellhitch/telemetry';

const port = z.coerce.number().int().min(0).max(65_535);
const positive = z.coerce.number().int().positive();
const host = z.union([z.ipv4(), z.ipv6()]);

export const entrySettings = {
  instanceId: {
    schema: z.string().min(1).max(200),
    description: 'Id of this instance in the instance list.',
    defaultText: `entry-${randomUUID().slice(0, 8)}`,
  },
  dataCentre: {
    schema: z.string().min(1),
    description: 'Data centre that this instance runs in.',
  },
  platformUrl: {
    schema: z.url({ protocol: /^https?$/ }),
    description: 'Address of the platform service, http://ip:port.',
  },
  ...peerSettings,
  entryHost: {
    schema: host,
    description: 'IP number that callers connect to.',
    defaultText: '127.0.0.1',
  },
  entryPort: { schema: port, description: 'Port for callers.', defaultText: '8080' },
  callersTlsCertFile: {
    schema: z.string().optional(),
    description: 'PEM file with the certificate for callers and its chain; absent: no TLS.',
  },
  callersTlsKeyFile: {
    schema: z.string().optional(),
    description: 'PEM file with the private key of that certificate.',
  },
  innerHost: {
    schema: host,
    description: 'IP number for agents and other entries.',
    defaultText: '127.0.0.1',
  },
  innerPort: { schema: port, description: 'Port of the inner protocol.', defaultText: '8081' },
  adminHost: { schema: host, description: 'IP number for operators.', defaultText: '127.0.0.1' },
  adminPort: {
    schema: port,
    description: 'Port for health, metrics and decision records.',
    defaultText: '9090',
  },
  maxHeaderBytes: {
    schema: positive,
    description: 'Largest request header, in bytes.',
    defaultText: '16384',
  },
  maxBodyBytes: {
    schema: positive,
    description: 'Largest body of a model request, in bytes; documents may set less.',
    defaultText: '4194304',
  },
  maxConnections: {
    schema: positive,
    description: 'Concurrent connections of callers.',
    defaultText: '4096',
  },
  memoryMb: {
    schema: positive,
    description:
      'Memory of this process, in MB: bodies of callers may take 15 in 100, connections 10.',
    defaultText: '200',
  },
  slowSenderTimeoutMs: {
    schema: positive,
    description:
      'Bound for a header or a small body to arrive, and for pauses of a large one, in ms.',
    defaultText: '10000',
  },
  settleMs: {
    schema: z.coerce.number().int().nonnegative(),
    description: 'Time between failing readiness and refusing new requests, in ms.',
    defaultText: '1000',
  },
  drainBoundMs: {
    schema: positive,
    description: 'Longest wait for running requests when stopping, in ms.',
    defaultText: '60000',
  },
  policy: {
    schema: z.enum(Object.values(placementPolicies)),
    description:
      'How model requests are placed; all but default are baselines for measurements only.',
    defaultText: 'default',
  },
  logLevel: {
    schema: z.enum(['debug', 'info', 'warn', 'error']),
    description: 'Lowest level of logged messages.',
    defaultText: 'info',
  },
  ...innerSecuritySettings,
  ...lifecycleSettings,
};

export type EntrySettings = SettingValues<typeof entrySettings>;
