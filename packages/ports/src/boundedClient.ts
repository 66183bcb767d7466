/**
 * HTTP clients whose calls end when many lines or bytes have brought a response no nearer to its end, or when the head of the response
 * is joined with that of another one.
 */
import { Agent, Client, DecoratorHandler, Pool, buildConnector, type Dispatcher } from 'undici';
import { createConnectionInput, type ConnectionInput } from './connectionInput';

const minFinalStatus = 200;

/** A client with one connection; may be the `factory` of a pool. */
export function createBoundedClient(origin: string | URL, options: Client.Options = {}): Client {
  const { connect } = options;
  const connector = typeof connect === 'function' ? connect : buildConnector({ ...connect });
  const input = createConnectionInput();
  const client = new Client(origin, {
    ...options,
    connect: (connectOptions, callback) =>
      connector(connectOptions, (...outcome) => {
        const [error, socket] = outcome;
        if (error === null) {
          input.watch(socket);
          input.onFlooded((reason) => socket.destroy(new Error(reason)));
        }
        callback(...outcome);
      }),
  });
  const dispatch = client.dispatch.bind(client);
  client.dispatch = (call, handler) => dispatch(call, notingProgress(handler, input));
  return client;
}

/** Clients of this kind for any number of servers. */
export function createBoundedAgent(options: Agent.Options): Agent {
  return new Agent({
    ...options,
    factory: (origin, poolOptions) =>
      new Pool(origin, { ...poolOptions, factory: createBoundedClient }),
  });
}

function notingProgress(
  handler: Dispatcher.DispatchHandler,
  input: ConnectionInput,
): Dispatcher.DispatchHandler {
  const inner = new DecoratorHandler(handler) as Required<Dispatcher.DispatchHandler>;
  return {
    onRequestStart(controller, context) {
      input.noteProgress();
      input.expectHead();
      // The handler's pauses are those of the input: see `ConnectionInput`.
      Object.assign(controller, { pause: input.pause, resume: input.resume });
      inner.onRequestStart(controller, context);
    },
    onRequestUpgrade: (...args) => inner.onRequestUpgrade(...args),
    onResponseStart(controller, status, ...rest) {
      // The decorator accepts one head only, which interim responses would take.
      if (status < minFinalStatus) {
        return;
      }
      input.noteProgress();
      if (input.hasJoinedHeads()) {
        controller.abort(new Error('two heads in one'));
        return;
      }
      inner.onResponseStart(controller, status, ...rest);
    },
    onResponseData(...args) {
      input.noteProgress();
      inner.onResponseData(...args);
    },
    onResponseEnd(...args) {
      input.noteProgress();
      input.resume();
      inner.onResponseEnd(...args);
    },
    onResponseError: (...args) => inner.onResponseError(...args),
  };
}
