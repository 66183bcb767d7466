/**
 * A small stand-in of the platform's store that keeps what writers send as text, so that it can hold entries that no
 * server writes. Objects by kind and name, revisions, lists and watches, as the pages say.
 */
import { createServer } from 'node:http';

export async function startTextStore() {
  /** By kind and name: the revision and the text of `spec`. */
  const kinds = new Map();
  const history = [];
  const waiting = new Set();
  let revision = 1;

  const objectsOf = (kind) => {
    const known = kinds.get(kind) ?? new Map();
    kinds.set(kind, known);
    return known;
  };

  const textOf = ({ name, revision: own, spec }) =>
    `{"metadata":{"name":${JSON.stringify(name)},"revision":${own},"created":1,"finalizers":[],"deletion_pending":false},"spec":${spec},"status":null}`;

  function note(kind, object, deleted) {
    history.push({ kind, object, deleted });
    [...waiting].forEach((wake) => wake());
  }

  function putText(kind, name, spec) {
    revision += 1;
    const object = { name, revision, spec };
    objectsOf(kind).set(name, object);
    note(kind, object, false);
    return object;
  }

  function remove(kind, name) {
    const object = objectsOf(kind).get(name);
    if (object !== undefined) {
      revision += 1;
      objectsOf(kind).delete(name);
      note(kind, { ...object, revision }, true);
    }
  }

  function respond(response, status, text) {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(text);
  }

  function list(kind, after, response) {
    const items = [...objectsOf(kind).values()]
      .filter(({ name }) => name > after)
      .sort((left, right) => (left.name < right.name ? -1 : 1));
    const page = items.slice(0, 500).map(textOf).join(',');
    const more = items.length > 500;
    respond(response, 200, `{"items":[${page}],"has_more":${more},"current_rev":${revision}}`);
  }

  function watch(kind, from, waitMs, response) {
    const changes = () =>
      history.filter((change) => change.kind === kind && change.object.revision > from);
    let timer;
    const finish = () => {
      waiting.delete(wake);
      clearTimeout(timer);
      const events = changes()
        .map(({ object, deleted }) => `{"object":${textOf(object)},"deleted":${deleted}}`)
        .join(',');
      respond(response, 200, `{"events":[${events}],"current_rev":${revision}}`);
    };
    function wake() {
      if (changes().length > 0) {
        finish();
      }
    }
    timer = setTimeout(finish, waitMs);
    waiting.add(wake);
    response.once('close', () => {
      waiting.delete(wake);
      clearTimeout(timer);
    });
    wake();
  }

  function write(method, kind, name, body, response) {
    const { metadata, spec } = JSON.parse(body);
    const known = objectsOf(kind).get(name ?? metadata.name);
    const isAllowed =
      method === 'POST'
        ? known === undefined
        : known !== undefined &&
          (metadata.revision === undefined || metadata.revision === known.revision);
    if (!isAllowed) {
      respond(
        response,
        known === undefined ? 404 : 409,
        known === undefined ? '{}' : textOf(known),
      );
      return;
    }
    respond(response, 200, textOf(putText(kind, name ?? metadata.name, JSON.stringify(spec))));
  }

  function serve(request, body, response) {
    const url = new URL(request.url, 'http://store');
    const [kind, name] = url.pathname.split('/').slice(2).map(decodeURIComponent);
    const query = url.searchParams;
    if (request.method === 'DELETE') {
      remove(kind, name);
      respond(response, 200, '{}');
    } else if (request.method !== 'GET') {
      write(request.method, kind, name, body, response);
    } else if (name !== undefined) {
      const object = objectsOf(kind).get(name);
      respond(
        response,
        object === undefined ? 404 : 200,
        object === undefined ? '{}' : textOf(object),
      );
    } else if (query.has('watch')) {
      watch(kind, Number(query.get('watch')), Number(query.get('wait_ms') ?? 0), response);
    } else {
      list(kind, query.get('after') ?? '', response);
    }
  }

  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => serve(request, Buffer.concat(chunks).toString(), response));
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    put: (kind, name, value) => putText(kind, name, JSON.stringify(value)),
    putText,
    remove,
    stop() {
      server.close();
      server.closeAllConnections();
    },
  };
}
