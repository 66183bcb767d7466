/** Calls to the platform stand-in and to control endpoints, for operators' edits, the instance list and faults. */
import { request } from 'undici';

// Opens a new connection for each call: a server may close a kept-alive connection just as the next call is
// written to it, and that failure would end an experiment minutes after its start.
const newConnection = { reset: true };

/** Sends a GET request and returns the body as text; throws on any status from 300. */
export async function readText(url: string): Promise<string> {
  const response = await request(url, newConnection);
  const text = await response.body.text();
  if (response.statusCode >= 300) {
    throw new Error(`GET ${url}: ${response.statusCode} ${text}`);
  }
  return text;
}

/** Sends a JSON body; throws on any status from 300. */
export async function sendJson(
  method: 'POST' | 'PUT' | 'DELETE',
  url: string,
  body: object,
): Promise<void> {
  const response = await request(url, {
    ...newConnection,
    method,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const text = await response.body.text();
  if (response.statusCode >= 300) {
    throw new Error(`${method} ${url}: ${response.statusCode} ${text}`);
  }
}

/** Sends a GET request and parses the JSON body; throws on any status from 300. */
export async function readJson(url: string): Promise<unknown> {
  return JSON.parse(await readText(url)) as unknown;
}

/** Stores a service's document as an operator's tool does. */
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

/** Adds a process to the instance list as live. */
export function registerInstance(
  platformUrl: string,
  id: string,
  instance: ListedInstance,
): Promise<void> {
  return sendJson('PUT', `${platformUrl}/control/instances/${id}`, { ...instance, state: 'live' });
}

/** Reads the instance list as other processes see it, with the platform's lag. */
export function listInstances(platformUrl: string): Promise<unknown> {
  return readJson(`${platformUrl}/instances`);
}

/** Marks an instance as leaving, as the platform does for a planned stop. */
export function markLeaving(platformUrl: string, id: string): Promise<void> {
  return sendJson('POST', `${platformUrl}/control/instances/${id}/leaving`, {});
}

/** Removes an instance from the list, as the platform does some time after its process has died. */
export function removeInstance(platformUrl: string, id: string): Promise<void> {
  return sendJson('DELETE', `${platformUrl}/control/instances/${id}`, {});
}
