export {
  createBodyReaderPool,
  type BodyReaderPool,
  type RequestBodyLimits,
  type RequestBodyOutcome,
} from './requestBody';
export { createMemoryAccount, type MemoryAccount, type MemoryLimits } from './memoryAccount';
export { createPortResources, type PortResources } from './portResources';
