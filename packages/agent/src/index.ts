export {
  createAgent,
  type Agent,
  type AgentBackend,
  type LeaseComponents,
  type AgentOptions,
} from './agent';
export { createAgentObserver, type AgentObserver } from './agentObserver';
export { startAgentProcess, type AgentProcess } from './agentProcess';
export { startInnerServer, type InnerServer, type InnerServerOptions } from './innerServer';
export { createPlainProxy, type PlainProxy, type PlainProxyOptions } from './plainProxy';
export { agentSettings, type AgentSettings } from './settings';
export type { FrameSink } from './chunkForwarder';
