export {CONFIG_HEAD_KEY, createConfigStore} from './configStore.js';
export type {ApplyResult, ConfigChange, ConfigStore} from './configStore.js';
export {createEtcdStore} from './etcdStore.js';
export {createHttpMembership} from './httpMembership.js';
export {MemberRole} from './ports.js';
export type {
  CompareAndSwapResult,
  KeyValueStore,
  Member,
  MembershipList,
  StoreCondition,
  StoredValue,
  StoreWrite,
} from './ports.js';
export {StoreError} from './storeError.js';
