// The parts that work without sockets: the path of a model request over an `AgentApi`.
export type { AgentApi, AgentCallError, AgentCallOptions } from './agentApi';
export type { AnswerEvent } from './answerLog';
export { createCancellations } from './cancellations';
export { claimKeyOf, fingerprintOf } from './digests';
export { createHeartbeats } from './heartbeats';
export type { Instances } from './instances';
export { createModelRuns, type ModelRuns } from './modelRuns';
export type { ModelRequest } from './modelTypes';
export { defaultRequestTimeouts, type RequestContext } from './requestContext';
export { createServiceRuntimes } from './serviceRuntimes';
export { createServiceTable, type ServiceTable } from './serviceTable';
export { createStrikes, type Strikes } from './strikes';
