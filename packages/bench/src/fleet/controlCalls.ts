/** What operators, the platform and faults do at the stand-ins' control endpoints. */
import { request } from 'undici';

// Each call has a connection of its own: one that was kept alive may be closed by its server just as
// the next call is written to it, which would end an experiment minutes after its start.
const ownConnection = { reset: true };

/** A GET that succeeds with its text; throws on any other answer. */
export async function readText(url: string): Promise<string> {
  const response = await request(url, ownConnection);
  const text = await response.body.text();
  if (response.statusCode >= 300) {
    throw new Error(`GET ${url}: ${response.statusCode} ${text}`);
  }
  return text;
}

/** Sends a JSON body; throws on any answer but success. */
export async function sendJson(
  method: 'POST' | 'PUT' | 'DELETE',
  url: string,
  body: object,
): Promise<void> {
  const response = await request(url, {
    ...ownConnection,
    method,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await response.body.text();
  if (response.statusCode >= 300) {
    throw new Error(`${method} ${url}: ${response.statusCode} ${text}`);
  }
}

/** Reads a JSON answer; throws on any answer but success. */
export async function readJson(url: string): Promise<unknown> {
  return JSON.parse(await readText(url)) as unknown;
}

/** Stores a service's document as operators do. */
export function applyDocument(platformUrl: string, service: string, text: string): Promise<void> {
  const value = { text, format: 'yaml' };
  return sendJson('POST', `${platformUrl}/objects/document/${service}`, { value });
}

export interface ListedInstance {
  kind: 'entry' | 'agent';
  service?: string;
  role?: string;
  dataCentre: string;
  innerAddress: string;
  adminAddress?: string;
}

/** Lists a process as a live instance. */
export function registerInstance(
  platformUrl: string,
  id: string,
  instance: ListedInstance,
): Promise<void> {
  return sendJson('PUT', `${platformUrl}/control/instances/${id}`, { ...instance, state: 'live' });
}

/** The instances as processes see them: with the platform's lag. */
export function listInstances(platformUrl: string): Promise<unknown> {
  return readJson(`${platformUrl}/instances`);
}

/** Shows a process as leaving, as the platform does for a planned stop. */
export function markLeaving(platformUrl: string, id: string): Promise<void> {
  return sendJson('POST', `${platformUrl}/control/instances/${id}/leaving`, {});
}

/** Takes a process off the instance list, as the platform does some time after its death. */
export function removeInstance(platformUrl: string, id: string): Promise<void> {
  return sendJson('DELETE', `${platformUrl}/control/instances/${id}`, {});
}
