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
