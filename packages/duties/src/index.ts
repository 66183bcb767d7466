export { createAcceptor, type Acceptor, type AcceptorOptions } from './acceptor';
export { documentValueSchema, type DocumentValidator } from './evaluateDocument';
export { serviceStatusSchema, type ServiceStatus } from './serviceStatus';
export {
  silentLogger,
  type DutyLease,
  type DutyLeaseFactory,
  type DutyLogger,
  type HeldFencing,
} from './dutyTypes';
