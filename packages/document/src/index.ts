export {
  acceptedDocumentSchema,
  modelSchema,
  routeSchema,
  serviceDocumentSchema,
  targetsSchema,
  trafficClassSchema,
  weightsSchema,
  type AcceptedDocument,
  type Route,
  type ServiceDocument,
  type TrafficClass,
} from './documentSchema';
export { diffDocuments, type DocumentChange } from './diffDocuments';
export { effectiveClass } from './effectiveClass';
export { renderFieldTable, replaceFieldTable, tableMarkers } from './fieldTable';
export { documentJsonSchema, type JsonSchemaNode } from './jsonSchema';
export { normalizeDocument } from './normalizeDocument';
export {
  formatOf,
  parseDocument,
  type DocumentFormat,
  type ParseDocumentOptions,
  type ParsedDocument,
} from './parseDocument';
