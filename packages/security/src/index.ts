export {
  innerSecuritySettings,
  readInnerKeys,
  type InnerKey,
  type InnerKeyChoice,
  type InnerSecuritySettings,
} from './innerKeys';
export {
  createInnerSecurity,
  credentialHeaders,
  innerAudiences,
  innerSecurityOf,
  insecureInner,
  type InnerAudience,
  type InnerCredentials,
  type InnerSecurity,
  type InnerSecurityOptions,
} from './innerSecurity';
export { createSealedFetch } from './sealedFetch';
export { createInnerGuard, createReplySealer, type InnerGuardOptions } from './innerGuard';
