export { ctlExitCodes, type CtlExitCode } from './exitCodes';
export {
  colourPaint,
  plainPaint,
  printReport,
  type AdminError,
  type CtlIo,
  type Paint,
  type Report,
} from './ctlIo';
export { createProcessIo } from './processIo';
export { runCtl, type RunCtlOptions } from './runCtl';
