export {
  changeObject,
  replaceObject,
  type ObjectChange,
  type ObjectChangeOptions,
} from './changeObject';
export { unusableResponseError, lostResponseError, parseJson } from './callFailures';
export {
  objectKinds,
  type ObjectApi,
  type ObjectKind,
  type ObjectList,
  type PlatformApi,
  type PlatformError,
  type PlatformInstance,
  type StoredObject,
  type WatchEvent,
  type WatchReply,
} from './platformApi';
export {
  createHttpPlatformClient,
  type HttpPlatformClient,
  type HttpPlatformClientOptions,
} from './httpPlatformClient';
export {
  objectKindSchema,
  platformErrorSchema,
  platformInstanceSchema,
  platformPaths,
  writeBodySchema,
} from './httpPlatformSchema';
export {
  type Claim,
  type ClaimError,
  type ClaimOutcome,
  type ClaimState,
  type ClaimStore,
  type ClaimRequest,
} from './claimApi';
export { createClaimStore, type ClaimStoreOptions } from './claimStore';
export {
  createDutyLease,
  type DutyLease,
  type DutyLeaseError,
  type DutyLeaseOptions,
  type HeldFencing,
} from './dutyLease';
