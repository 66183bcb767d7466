export {
  objectKinds,
  type ObjectKind,
  type ObjectList,
  type PlatformApi,
  type PlatformError,
  type PlatformInstance,
  type StoredObject,
  type WatchEvent,
  type WatchReply,
} from './platformApi';
