/** JSON Schema of the service document, generated from the zod schema for completion and validation in editors. */
import * as z from 'zod';
import { serviceDocumentSchema } from './documentSchema';
import type { FieldPath } from './fieldPath';

/** Subset of JSON Schema that the service document uses. */
export interface JsonSchemaNode {
  type?: string;
  const?: unknown;
  enum?: unknown[];
  default?: unknown;
  description?: string;
  pattern?: string;
  properties?: Record<string, JsonSchemaNode>;
  required?: string[];
  items?: JsonSchemaNode;
  minimum?: number;
  maximum?: number;
  exclusiveMinimum?: number;
  exclusiveMaximum?: number;
  minLength?: number;
  maxLength?: number;
  minItems?: number;
  maxItems?: number;
}

/** Schema of a document as its author writes it: fields with a default are optional. */
export function documentJsonSchema(): JsonSchemaNode {
  const schema = z.toJSONSchema(serviceDocumentSchema, { io: 'input' });
  return { title: 'bluebellhitch service document', ...schema } as JsonSchemaNode;
}

/** Names of the fields that the object at `path` may have. */
export function fieldNamesAt(path: FieldPath): string[] {
  const node = path.reduce<JsonSchemaNode | undefined>(
    (parent, part) => (typeof part === 'number' ? parent?.items : parent?.properties?.[part]),
    documentJsonSchema(),
  );
  return Object.keys(node?.properties ?? {});
}
