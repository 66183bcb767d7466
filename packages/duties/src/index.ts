export { createAcceptor, type Acceptor, type AcceptorOptions } from './acceptor';
export { documentValueSchema, type DocumentValidator } from './evaluateDocument';
export { serviceStatusSchema, type ServiceStatus } from './serviceStatus';
export { silentLogger, type DutyLogger } from './dutyLogger';
export {
  createOrderAgentClient,
  type OrderAgentClient,
  type OrderAgentClientOptions,
  type OrderCallError,
} from './orderAgentClient';
export {
  createOrderReconciler,
  defaultOrderReconcilerSettings,
  type ActiveDocument,
  type OrderReconciler,
  type OrderReconcilerOptions,
  type OrderReconcilerSettings,
} from './orderReconciler';
export { orderLeaseKey } from './orderSender';
export {
  planOrders,
  type OrderPlan,
  type PlannedOrder,
  type PlanOrdersOptions,
} from './planOrders';
export {
  balanceRoles,
  measurePressure,
  type PoolPressure,
  type RoleBalance,
  type RoleBalanceInput,
  type RoleBalanceOptions,
  type RoleBalanceState,
} from './roleBalance';
export { acceptLeaseKey, startDuties, type Duties, type StartDutiesOptions } from './startDuties';
export { type OrderableWorker, type WorkerView } from './workerView';
