/** HTTP clients whose calls end when many lines or bytes have brought a response no nearer to its end. */
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
  const pausing = (controller: Dispatcher.DispatchController) => withInputPauses(controller, input);
  return {
    onRequestStart(controller, ...rest) {
      input.resume();
      input.noteProgress();
      inner.onRequestStart(pausing(controller), ...rest);
    },
    onRequestUpgrade: (controller, ...rest) => inner.onRequestUpgrade(pausing(controller), ...rest),
    onResponseStart(controller, status, ...rest) {
      // The decorator accepts one head only, which interim responses would take.
      if (status >= minFinalStatus) {
        input.noteProgress();
        inner.onResponseStart(pausing(controller), status, ...rest);
      }
    },
    onResponseData(controller, ...rest) {
      input.noteProgress();
      inner.onResponseData(pausing(controller), ...rest);
    },
    onResponseEnd(controller, ...rest) {
      input.noteProgress();
      input.resume();
      inner.onResponseEnd(pausing(controller), ...rest);
    },
    onResponseError: (controller, ...rest) => inner.onResponseError(pausing(controller), ...rest),
  };
}

/** The same controller, but for its pauses, which are those of the input. */
function withInputPauses(
  controller: Dispatcher.DispatchController,
  input: ConnectionInput,
): Dispatcher.DispatchController {
  return {
    get aborted() {
      return controller.aborted;
    },
    get paused() {
      return input.isPaused();
    },
    get reason() {
      return controller.reason;
    },
    get rawHeaders() {
      return controller.rawHeaders;
    },
    get rawTrailers() {
      return controller.rawTrailers;
    },
    abort: (reason) => controller.abort(reason),
    pause: input.pause,
    resume: input.resume,
  };
}
