export { createBodyBuffer, type BodyBuffer } from './bodyBuffer';
export {
  createBodyReaderPool,
  type BodyReaderPool,
  type RequestBodyLimits,
  type RequestBodyOutcome,
} from './requestBody';
export { createHoldings, noHolding, type Holding, type Holdings } from './holdings';
export { createMemoryAccount, type MemoryAccount, type MemoryLimits } from './memoryAccount';
export {
  guardPort,
  type GuardedConnection,
  type PortGuard,
  type PortGuardOptions,
} from './portGuard';
export { createReadTurns, type ReadTurns } from './readTurns';
export { createPortResources, type PortResources } from './portResources';
export { guardSmallPort, smallPortOptions } from './smallPort';
export { endAfterUnreadBody, type UnreadRequest } from './unreadBody';
export {
  guardInnerPort,
  readInnerBody,
  readInnerCall,
  refuseInnerBody,
  type InnerCall,
} from './innerPort';
export {
  createResponseReader,
  type ResponseBodyError,
  type ResponseReader,
  type ResponseReaderOptions,
} from './responseBody';
export {
  createEventBlocks,
  type EventBlock,
  type EventBlocks,
  type EventBlocksOptions,
} from './eventBlocks';
export { createBoundedFetch, type BoundedFetch, type BoundedReply } from './boundedFetch';
export { createBoundedAgent, createBoundedClient } from './boundedClient';
export { createConnectionInput, type ConnectionInput } from './connectionInput';
