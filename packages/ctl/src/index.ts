export { ctlExitCodes, type CtlExitCode } from './exitCodes';
export {
  colourStyles,
  plainStyles,
  printReport,
  type AdminError,
  type CtlIo,
  type TextStyles,
  type Report,
} from './ctlIo';
export { createProcessIo, type ProcessIoOptions } from './processIo';
export { runCtl, type RunCtlOptions } from './runCtl';
