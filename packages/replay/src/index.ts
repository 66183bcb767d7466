export { mechanisms, type Mechanism } from './mechanisms';
export { parsePattern, type LoadPattern } from './pattern';
export { addFigures, type ReplayFigures, type ServedCount } from './replayFigures';
export { runReplay, type ReplayOptions } from './replayRun';
