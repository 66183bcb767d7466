export { runSoak, type SoakOptions, type SoakReport } from './soakRun';
export { createScript, type Operation, type ScriptStep, type SoakScript } from './script';
export { promises, type SoakFinding } from './findings';
