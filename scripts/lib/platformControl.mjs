/** What operators and the platform itself do at the stand-in platform during a quickstart. */

/** Stores a service's document as operators do. */
export async function applyDocument(platformAddress, { text, content }) {
  const value = { text, format: 'yaml' };
  await send(platformAddress, 'POST', `/objects/document/${content.service}`, { value });
}

/** The instances as processes see them: with the platform's lag. */
export async function listInstances(platformAddress) {
  const response = await fetch(`${platformAddress}/instances`);
  return response.json();
}

/** Lists a process as a live instance. */
export async function registerInstance(platformAddress, id, instance) {
  await send(platformAddress, 'PUT', `/control/instances/${id}`, { ...instance, state: 'live' });
}

/** Shows a process as leaving, as the platform does for a planned stop. */
export async function markLeaving(platformAddress, id) {
  await send(platformAddress, 'POST', `/control/instances/${id}/leaving`, {});
}

async function send(platformAddress, method, path, body) {
  const response = await fetch(`${platformAddress}${path}`, {
    method,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  if (!response.ok) {
    throw new Error(`${method} ${path}: ${response.status} ${await response.text()}`);
  }
}
